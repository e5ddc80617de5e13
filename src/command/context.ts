import type { Address, Clock, ObjectStore, Random } from "../model/index.js";
import type { ProxyHttpClient } from "./proxy-client.js";

/** Flags that every command knows. */
export interface Flags {
  /** Origin of the platform's service, such as `http://10.0.0.5:8080`. */
  readonly platform?: string;
  /** Health addresses of proxies, in place of those that follow from the platform's list. */
  readonly proxy?: string | readonly string[];
  /** How far a proxy's health port stands above its peer port. */
  readonly healthOffset?: number;
  readonly json?: boolean;
}

/** What a command may touch. */
export interface CommandContext {
  readonly store: ObjectStore;
  readonly proxies: ProxyHttpClient;
  /** Health addresses that were given; empty when they follow from the platform's list. */
  readonly givenProxies: readonly Address[];
  readonly healthOffset: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly json: boolean;
  readFile(path: string): Promise<string>;
  writeFile(path: string, text: string): Promise<void>;
  /** An id that no other change bears. */
  createChangeId(): string;
  print(text: string): void;
}

/** Prints a value as JSON, or as text where `--json` was not given. */
export function printResult(context: CommandContext, value: unknown, text: string): void {
  context.print(context.json ? JSON.stringify(value, undefined, 2) : text.trimEnd());
}
