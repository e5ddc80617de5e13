import { request } from "undici";
import { z } from "zod";
import { decodeMessage } from "../controller/configuration/index.js";
import type { Address, Configuration, Json } from "../model/index.js";
import { formatAddress } from "../settings/index.js";
import { parseReport, type ProxyReport } from "../report/index.js";

const requestTimeoutMs = 2000;

/** The fields of a proxy's `/health` page that the commands use. */
export interface ProxySummary {
  readonly vm: string;
  readonly revision: number;
}

/** Sends requests to proxies at their health addresses. Reads of an unreachable one are `undefined`. */
export interface ProxyHttpClient {
  readSummary(address: Address): Promise<ProxySummary | undefined>;
  readReport(address: Address): Promise<ProxyReport | undefined>;
  /** Reads the configuration in force on the proxy. */
  readConfiguration(address: Address): Promise<Configuration | undefined>;
  /** Asks the proxy to drain. Resolves with whether it accepted the request. */
  requestDrain(address: Address): Promise<boolean>;
}

const summary = z.object({ vm: z.string(), revision: z.int() });

/** Creates a client that uses HTTP. */
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
