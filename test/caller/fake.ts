import { afterEach } from "@jest/globals";
import { Socket } from "node:net";
import { setTimeout } from "node:timers/promises";
import pg from "pg";
import { CallerServer, type CallerServerOptions } from "../../src/caller/index.js";
import {
  encodeCommandComplete,
  encodeInt32,
  encodeMessage,
  encodeCString,
} from "../../src/caller/message.js";
import type {
  Address,
  Clock,
  Conversation,
  GroupGateway,
  Mark,
  MessageSink,
  Outcome,
  Request,
  RuleAction,
} from "../../src/model/index.js";
import { loadParser } from "../../src/sql/index.js";

/** The fake group's answer to one statement. */
export interface Reply {
  readonly rows?: readonly string[];
  readonly error?: string;
  readonly status?: "I" | "T" | "E";
  readonly mark?: Mark;
  readonly outcome?: Outcome;
  /** Delays the answer until it resolves. */
  readonly wait?: Promise<void>;
  /** Bytes sent instead of the regular answer. */
  readonly raw?: Uint8Array;
}

export const clock: Clock = {
  now: () => performance.now(),
  sleep: (ms, signal) => setTimeout(ms, undefined, signal === undefined ? {} : { signal }),
};

export const serveAction: RuleAction = {
  type: "serve",
  route: { type: "replica" },
  priority: "normal",
  deadlineMs: 5000,
  maxQueueMs: 1000,
  retry: { attempts: 0 },
  acknowledgement: "replicated",
};

export const createMark = (offset: number): Mark => ({ term: { round: 1, vm: "a" }, offset });

/** A group that answers each statement with the result of a function, and records the requests. */
export class FakeGroup implements GroupGateway {
  readonly requests: Request[] = [];
  readonly statements: string[] = [];
  readonly frames: string[] = [];
  /** The names of prepared statements that reached the group. */
  readonly names = new Set<string>();
  /** The number of aborted requests. */
  aborted = 0;
  opened = 0;
  closed = 0;

  constructor(readonly reply: (statement: string) => Reply = () => ({})) {}

  open(): Conversation {
    this.opened += 1;
    return {
      run: (request, messages, sink, signal) => this.run(request, messages, sink, signal),
      close: () => {
        this.closed += 1;
      },
    };
  }

  private async run(
    request: Request,
    messages: Uint8Array,
    sink: MessageSink,
    signal: AbortSignal,
  ): Promise<Outcome> {
    this.requests.push(request);
    let last: Reply = {};
    let text = "";
    for (const { type, body } of splitMessages(messages)) {
      this.frames.push(type);
      const [first, second] = body.toString().split("\0");
      if (type === "P") text = second ?? "";
      if (type === "P" || type === "B") this.names.add((type === "P" ? first : second) ?? "");
      if (type === "Q") text = body.toString().slice(0, -1);
      const runs = type === "E" || type === "Q";
      if (runs) {
        this.statements.push(text);
        last = this.reply(text);
        await Promise.race([last.wait, waitForAbort(signal)]);
        if (signal.aborted) {
          this.aborted += 1;
          return createFailedOutcome("mayHaveRun");
        }
      }
      for (const message of answerTo(type, last, text)) await sink(message);
      if (last.error !== undefined) break;
    }
    const { status = "I", mark: seen, outcome } = last;
    if (outcome !== undefined) return outcome;
    const servedBy = { target: "t1", role: "primary" } as const;
    return seen === undefined
      ? { type: "answered", status, servedBy }
      : { type: "answered", status, servedBy, mark: seen };
  }
}

export function createFailedOutcome(type: "mayHaveRun" | "notRun"): Outcome {
  const verdict =
    type === "notRun"
      ? ({ type, reason: "noPrimary", retryAfterMs: 250 } as const)
      : ({ type, reason: "connection lost" } as const);
  return { type: "failed", verdict, message: "no answer" };
}

/** Waits for a condition; rejects if it does not hold within ten seconds. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const endAt = clock.now() + 10_000;
  while (!condition()) {
    if (clock.now() > endAt) throw new Error(`condition did not become true: ${String(condition)}`);
    await setTimeout(2);
  }
}

/** Starts a server for a fake group, with a function that connects clients to it. */
export async function startServer(group: GroupGateway, options: Partial<CallerServerOptions> = {}) {
  await loadParser();
  const server = new CallerServer({
    address: { host: "127.0.0.1", port: 0 },
    gateway: group,
    hasGroup: (name) => name === "g",
    match: () => ({ rule: "all", action: serveAction }),
    findTeam: (name) => (name === "nobody" ? undefined : { name, plan: "paying" }),
    tokenKeys: () => [Buffer.from("key")],
    clock,
    ...options,
  });
  const address = await server.listen();
  const clients: pg.Client[] = [];
  return {
    server,
    address,
    connect: async (config: pg.ClientConfig = {}) => {
      const client = new pg.Client({ ...address, user: "acme", database: "g", ...config });
      client.on("error", () => undefined);
      clients.push(client);
      await client.connect();
      return client;
    },
    stop: async () => {
      await Promise.all(clients.map((client) => client.end().catch(() => undefined)));
      server.dispose();
    },
  };
}

/** Sends bytes and returns all that is received until the other end closes. */
export function sendRaw(address: Address, ...parts: readonly Uint8Array[]): Promise<Buffer> {
  return new Promise((resolve) => {
    const socket = new Socket();
    const received: Buffer[] = [];
    socket.on("data", (chunk) => received.push(chunk));
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(Buffer.concat(received)));
    socket.connect(address.port, address.host, () => {
      for (const part of parts) socket.write(part);
    });
  });
}

export function startupMessage(parameters: Readonly<Record<string, string>>): Buffer {
  const pairs = Object.entries(parameters).flatMap(([k, v]) => [
    encodeCString(k),
    encodeCString(v),
  ]);
  const body = Buffer.concat([encodeInt32(196608), ...pairs, Buffer.of(0)]);
  return Buffer.concat([encodeInt32(body.length + 4), body]);
}

function answerTo(type: string, reply: Reply, text: string): readonly Uint8Array[] {
  if (reply.raw !== undefined) return [reply.raw];
  if (reply.error !== undefined) return [encodeError(reply.error)];
  const code = (c: string) => c.charCodeAt(0);
  const columns = encodeMessage(
    code("T"),
    Buffer.of(0, 1),
    encodeCString("v"),
    Buffer.from("0000000000000000001900000000ffffffff0000".slice(0, 36), "hex"),
  );
  const rows = (reply.rows ?? []).map((row) =>
    encodeMessage(code("D"), Buffer.of(0, 1), encodeInt32(row.length), Buffer.from(row)),
  );
  const complete = encodeCommandComplete(/^\w+/.exec(text)?.[0]?.toUpperCase() ?? "");
  switch (type) {
    case "P":
      return [encodeMessage(code("1"))];
    case "B":
      return [encodeMessage(code("2"))];
    case "C":
      return [encodeMessage(code("3"))];
    case "D":
      return [columns];
    case "E":
      return [...rows, complete];
    case "Q":
      return reply.rows === undefined ? [complete] : [columns, ...rows, complete];
    default:
      return [];
  }
}

function encodeError(message: string): Buffer {
  const fields = ["SERROR", "C23505", `M${message}`].map(encodeCString);
  return encodeMessage("E".charCodeAt(0), ...fields, Buffer.of(0));
}

function waitForAbort(signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    if (signal.aborted) resolve();
    signal.addEventListener("abort", () => resolve());
  });
}

/** A server for a fake group, with that group. */
export type Running = Awaited<ReturnType<typeof startServer>> & { readonly group: FakeGroup };

/** Starts servers for a test file and stops each one after its test; `find` gets the one that runs. */
export function createServerStarter() {
  let running: Running | undefined;
  afterEach(async () => {
    await running?.stop();
    running = undefined;
  });
  const start = async (
    reply?: (statement: string) => Reply,
    options?: Partial<CallerServerOptions>,
  ): Promise<Running> => {
    const group = new FakeGroup(reply);
    running = { group, ...(await startServer(group, options)) };
    return running;
  };
  return { start, find: () => running };
}

function* splitMessages(bytes: Uint8Array) {
  const buffer = Buffer.from(bytes);
  for (let at = 0; at < buffer.length;) {
    const length = buffer.readUInt32BE(at + 1);
    yield {
      type: String.fromCharCode(buffer[at] ?? 0),
      body: buffer.subarray(at + 5, at + 1 + length),
    };
    at += length + 1;
  }
}
