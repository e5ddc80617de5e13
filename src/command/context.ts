import type { Address, Clock, ObjectStore, Random } from "../model/index.js";
import type { ProxyHttpClient } from "./proxy-client.js";

/** Flags that every command accepts. */
export interface Flags {
  /** The origin of the platform's service, such as `http://10.0.0.5:8080`. */
  readonly platform?: string;
  /** Health addresses of proxies, used instead of those derived from the platform's list. */
  readonly proxy?: string | readonly string[];
  /** The difference between a proxy's health port and its peer port. */
  readonly healthOffset?: number;
  readonly json?: boolean;
}

/** Gives a command access to the store, the proxies, the files and the terminal. */
export interface CommandContext {
  readonly store: ObjectStore;
  readonly proxies: ProxyHttpClient;
  /** The health addresses given by `--proxy`; if empty, they are derived from the platform's list. */
  readonly givenProxies: readonly Address[];
  readonly healthPortOffset: number;
  readonly clock: Clock;
  readonly random: Random;
  readonly json: boolean;
  readFile(path: string): Promise<string>;
  writeFile(path: string, text: string): Promise<void>;
  /** Creates a unique id for a configuration change. */
  createChangeId(): string;
  print(text: string): void;
}

/** Prints `value` as JSON if `--json` was given, else `text`. */
export function printResult(context: CommandContext, value: unknown, text: string): void {
  context.print(context.json ? JSON.stringify(value, undefined, 2) : text.trimEnd());
}
