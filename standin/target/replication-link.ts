import pg from "pg";
import { setTimeout as sleep } from "node:timers/promises";
import { formatTerm, type Lineage } from "../../src/model/index.js";
import type { Faults } from "./faults.js";
import type { LogRecord } from "./log.js";
import type { FollowedPrimary, Member } from "./member.js";

/** The database name of the connections over which records are copied. */
export const replicationDatabase = "standin_replication";

const pollMs = 5_000;
const answerMs = pollMs + 2_000;
const reconnectMs = 50;
const maxRecords = 500;

/**
 * Copies records from one primary in one term. Records wait for the lag before they are appended;
 * what waits when the link ends is dropped, as on a network that loses it.
 */
export class ReplicationLink {
  private isStopped = false;
  private client: pg.Client | undefined;
  private readonly waiting: { readonly record: LogRecord; readonly receivedAt: number }[] = [];
  private wake: (() => void) | undefined;

  constructor(
    private readonly member: Member,
    private readonly following: FollowedPrimary,
    private readonly faults: Faults,
    private readonly getLagMs: () => number,
  ) {
    void this.run();
    void this.runWriting();
  }

  stop(): void {
    this.isStopped = true;
    this.closeClient();
    this.wake?.();
  }

  /** Looks at the lag and the queue again. */
  update(): void {
    this.wake?.();
  }

  private isOpen(): boolean {
    return !this.isStopped && this.member.canCopy(this.following);
  }

  private async run(): Promise<void> {
    while (this.isOpen()) {
      try {
        await this.copyFrom(await this.connect());
      } catch {
        // The primary is away or not yet promoted: the link asks again until it is told otherwise.
      }
      this.waiting.length = 0;
      this.closeClient();
      await sleep(reconnectMs);
    }
  }

  private async connect(): Promise<pg.Client> {
    const client = new pg.Client({
      ...this.following.address,
      user: this.member.name,
      database: replicationDatabase,
      connectionTimeoutMillis: answerMs,
      query_timeout: answerMs,
    });
    client.on("error", () => undefined);
    this.client = client;
    await client.connect();
    return client;
  }

  private async copyFrom(client: pg.Client): Promise<void> {
    const term = formatTerm(this.following.term);
    const [lineage] = await this.ask(client, "SELECT standin_lineage($1)", [term]);
    if (!this.isOpen()) return;
    this.member.truncateToCommonOffset(lineage as { readonly lineage: Lineage; readonly offset: number });
    let offset = this.member.log.offset;
    while (this.isOpen()) {
      const values = [term, offset, maxRecords, pollMs];
      const records = await this.ask(client, "SELECT standin_records($1,$2,$3,$4)", values);
      const receivedAt = performance.now();
      for (const record of records) this.waiting.push({ record: record as LogRecord, receivedAt });
      offset += records.length;
      this.wake?.();
    }
  }

  private async ask(
    client: pg.Client,
    text: string,
    values: readonly (string | number)[],
  ): Promise<readonly unknown[]> {
    await this.faults.running.wait();
    await this.faults.replication.requests.wait();
    const { rows } = await client.query<[string]>({ text, values: [...values], rowMode: "array" });
    await this.faults.running.wait();
    await this.faults.replication.answers.wait();
    return rows.map(([json]) => JSON.parse(json) as unknown);
  }

  private async runWriting(): Promise<void> {
    while (this.isOpen()) {
      await this.faults.running.wait();
      this.writeDue();
      await this.waitForWork();
    }
  }

  private writeDue(): void {
    const dueBefore = performance.now() - this.getLagMs();
    for (let head = this.waiting[0]; head !== undefined; head = this.waiting[0]) {
      if (head.receivedAt > dueBefore || !this.isOpen()) return;
      this.waiting.shift();
      this.member.appendCopied(head.record);
    }
  }

  private async waitForWork(): Promise<void> {
    const [head] = this.waiting;
    const ms = head && head.receivedAt + this.getLagMs() - performance.now();
    await new Promise<void>((resolve) => {
      const timer = ms === undefined ? undefined : setTimeout(resolve, Math.max(1, ms));
      this.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  private closeClient(): void {
    const { client } = this;
    this.client = undefined;
    client?.end().catch(() => undefined);
  }
}
