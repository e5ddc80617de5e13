import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";

/** An order to promote a backend, as the platform's cloud API receives it. */
export interface FailoverOrder {
  readonly service: string;
  readonly id: string;
  readonly holder: string;
  readonly token: number;
}

interface StoredEntry {
  readonly revision: number;
  readonly created: number;
  readonly spec: unknown;
  readonly status: unknown;
}

interface CallBody {
  readonly meta?: { readonly name?: string; readonly revision?: number };
  readonly spec?: unknown;
  readonly status?: unknown;
  readonly service?: string;
  readonly id?: string;
}

interface Answer {
  readonly status: number;
  readonly body: unknown;
}

const ok = 200;
const created = 201;
const badRequest = 400;
const notFound = 404;
const conflict = 409;

/** A sound stand-in of the platform: its metadata store and the call that promotes a backend. */
export class Platform {
  private readonly kinds = new Map<string, Map<string, StoredEntry>>();
  private readonly server: Server;
  private revision = 1;
  port = 0;

  /** `failover` carries an order out and returns the status of its answer. */
  constructor(private readonly failover: (order: FailoverOrder) => number) {
    this.server = createServer((request, response) => void this.serve(request, response));
  }

  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen(0, "127.0.0.1", resolve));
    const address = this.server.address();
    if (typeof address === "object" && address !== null) this.port = address.port;
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes what the operator or a backend writes. */
  set(kind: string, name: string, spec: unknown): void {
    this.write(kind, name, spec, null);
  }

  /** Removes an entry, as the store does when a backend has left. */
  remove(kind: string, name: string): void {
    if (this.getKind(kind).delete(name)) this.revision += 1;
  }

  private async serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const text = Buffer.concat(chunks).toString("utf8");
    const body = text === "" ? {} : (JSON.parse(text) as CallBody);
    const answer = this.handle(request, body);
    response.writeHead(answer.status, { "content-type": "application/json" });
    response.end(JSON.stringify(answer.body));
  }

  private handle(request: IncomingMessage, body: CallBody): Answer {
    const { method = "GET", url = "/" } = request;
    const { pathname, searchParams } = new URL(url, "http://127.0.0.1");
    if (method === "POST" && pathname === "/failover") {
      const status = this.failover({
        service: body.service ?? "",
        id: body.id ?? "",
        holder: String(request.headers["x-radishwalk-lease-holder"]),
        token: Number(request.headers["x-radishwalk-fencing-token"]),
      });
      return { status, body: {} };
    }
    const [, root, kind = "", name] = pathname.split("/").map(decodeURIComponent);
    if (root !== "objects" || searchParams.has("watch")) return { status: badRequest, body: {} };
    if (name === undefined) {
      return method === "POST" ? this.create(kind, body) : this.list(kind);
    }
    return this.handleObject(method, kind, name, body, searchParams.get("revision"));
  }

  private handleObject(
    method: string,
    kind: string,
    name: string,
    body: CallBody,
    queryRevision: string | null,
  ): Answer {
    const known = this.getKind(kind).get(name);
    if (known === undefined) return { status: notFound, body: {} };
    if (method === "GET") return { status: ok, body: format(name, known) };
    const expected =
      body.meta?.revision ?? (queryRevision === null ? undefined : Number(queryRevision));
    if (expected !== undefined && expected !== known.revision) {
      return { status: conflict, body: format(name, known) };
    }
    if (method === "DELETE") {
      this.remove(kind, name);
      return { status: ok, body: format(name, known) };
    }
    const written = this.write(kind, name, body.spec, known.status);
    return { status: ok, body: format(name, written) };
  }

  private create(kind: string, body: CallBody): Answer {
    const name = body.meta?.name ?? "";
    const known = this.getKind(kind).get(name);
    if (known !== undefined) return { status: conflict, body: format(name, known) };
    return { status: created, body: format(name, this.write(kind, name, body.spec, null)) };
  }

  private list(kind: string): Answer {
    const items = [...this.getKind(kind)].map(([name, entry]) => format(name, entry));
    return { status: ok, body: { items, "has-more": false, "current-rev": this.revision } };
  }

  /** A write that changes nothing does not increase the revision. */
  private write(kind: string, name: string, spec: unknown, status: unknown): StoredEntry {
    const known = this.getKind(kind).get(name);
    if (known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec)) return known;
    this.revision += 1;
    const { revision } = this;
    const entry = { revision, created: known?.created ?? revision, spec, status };
    this.getKind(kind).set(name, entry);
    return entry;
  }

  private getKind(kind: string): Map<string, StoredEntry> {
    const known = this.kinds.get(kind) ?? new Map<string, StoredEntry>();
    this.kinds.set(kind, known);
    return known;
  }
}

function format(name: string, { revision, created: at, spec, status }: StoredEntry): unknown {
  const meta = { name, revision, created: at, finalizers: [], deleting: false };
  return { meta, spec, status };
}
