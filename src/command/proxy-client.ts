import { request } from "undici";
import { z } from "zod";
import { decodeMessage } from "../controller/configuration/index.js";
import type { Address, Configuration, Json } from "../model/index.js";
import { formatAddress } from "../settings/index.js";
import { parseReport, type ProxyReport } from "../report/index.js";

const requestTimeoutMs = 2000;

/** What a proxy's `/health` says. */
export interface ProxySummary {
  readonly vm: string;
  readonly revision: number;
}

/** Reads and asks proxies at their health addresses. `undefined` from one that can't be reached. */
export interface ProxyHttpClient {
  readSummary(address: Address): Promise<ProxySummary | undefined>;
  readReport(address: Address): Promise<ProxyReport | undefined>;
  /** The configuration that it has in force. */
  readConfiguration(address: Address): Promise<Configuration | undefined>;
  /** Asks it to drain; whether it took that. */
  requestDrain(address: Address): Promise<boolean>;
}

const summary = z.object({ vm: z.string(), revision: z.int() });

/** Creates a reader over HTTP. */
export function createProxyHttpClient(): ProxyHttpClient {
  return {
    readSummary: async (address) => summary.safeParse(await fetchJson(address, "/health")).data,
    readReport: async (address) => {
      const body = await fetchJson(address, "/report");
      return body === undefined ? undefined : parseReport(body);
    },
    readConfiguration: async (address) => {
      const body = await fetchJson(address, "/configuration");
      const update = body === undefined ? undefined : decodeMessage(body)?.update;
      return update?.type === "whole" ? update.configuration : undefined;
    },
    requestDrain: async (address) => (await fetchJson(address, "/drain", "POST")) !== undefined,
  };
}

async function fetchJson(
  address: Address,
  path: string,
  method: "GET" | "POST" = "GET",
): Promise<Json | undefined> {
  try {
    const answer = await request(`http://${formatAddress(address)}${path}`, {
      method,
      headersTimeout: requestTimeoutMs,
      bodyTimeout: requestTimeoutMs,
      signal: AbortSignal.timeout(requestTimeoutMs),
    });
    const body = (await answer.body.json()) as Json;
    return answer.statusCode < 300 ? body : undefined;
  } catch {
    return undefined;
  }
}
