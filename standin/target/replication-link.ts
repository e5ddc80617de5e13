import pg from "pg";
import { setTimeout as sleep } from "node:timers/promises";
import { formatTerm, type Lineage } from "../../src/model/index.js";
import type { Faults } from "./faults.js";
import type { LogRecord } from "./log.js";
import type { FollowedPrimary, Member } from "./member.js";

/** The database name that replication connections use. */
export const replicationDatabase = "standin_replication";

const pollMs = 5_000;
const answerTimeoutMs = pollMs + 2_000;
const reconnectMs = 50;
const maxRecordsPerPoll = 500;

/**
 * Replicates records from one primary in one term. Received records are delayed by the lag before
 * they are appended; those still delayed when the connection ends are dropped, as if the network
 * had lost them.
 */
export class ReplicationLink {
  private isStopped = false;
  private client: pg.Client | undefined;
  private readonly delayed: { readonly record: LogRecord; readonly receivedAt: number }[] = [];
  private wake: (() => void) | undefined;

  constructor(
    private readonly member: Member,
    private readonly primary: FollowedPrimary,
    private readonly faults: Faults,
    private readonly getLagMs: () => number,
  ) {
    void this.runReceiving();
    void this.runAppending();
  }

  stop(): void {
    this.isStopped = true;
    this.closeClient();
    this.wake?.();
  }

  /** Applies a changed lag to the records that are still delayed. */
  update(): void {
    this.wake?.();
  }

  private isOpen(): boolean {
    return !this.isStopped && this.member.canCopyFrom(this.primary);
  }

  private async runReceiving(): Promise<void> {
    while (this.isOpen()) {
      try {
        await this.copyFrom(await this.connect());
      } catch {
        // The primary is unreachable or not promoted yet: retry until the link is stopped.
      }
      this.delayed.length = 0;
      this.closeClient();
      await sleep(reconnectMs);
    }
  }

  private async connect(): Promise<pg.Client> {
    const client = new pg.Client({
      ...this.primary.address,
      user: this.member.name,
      database: replicationDatabase,
      connectionTimeoutMillis: answerTimeoutMs,
      query_timeout: answerTimeoutMs,
    });
    client.on("error", () => undefined);
    this.client = client;
    await client.connect();
    return client;
  }

  private async copyFrom(client: pg.Client): Promise<void> {
    const term = formatTerm(this.primary.term);
    const [lineage] = await this.queryPrimary(client, "SELECT standin_lineage($1)", [term]);
    if (!this.isOpen()) return;
    this.member.truncateToCommonOffset(
      lineage as { readonly lineage: Lineage; readonly offset: number },
    );
    let offset = this.member.log.offset;
    while (this.isOpen()) {
      const values = [term, offset, maxRecordsPerPoll, pollMs];
      const records = await this.queryPrimary(
        client,
        "SELECT standin_records($1,$2,$3,$4)",
        values,
      );
      const receivedAt = performance.now();
      for (const record of records) this.delayed.push({ record: record as LogRecord, receivedAt });
      offset += records.length;
      this.wake?.();
    }
  }

  private async queryPrimary(
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

  private async runAppending(): Promise<void> {
    while (this.isOpen()) {
      await this.faults.running.wait();
      this.appendDue();
      await this.waitForDueRecord();
    }
  }

  private appendDue(): void {
    const dueBefore = performance.now() - this.getLagMs();
    for (let head = this.delayed[0]; head !== undefined; head = this.delayed[0]) {
      if (head.receivedAt > dueBefore || !this.isOpen()) return;
      this.delayed.shift();
      this.member.appendCopied(head.record);
    }
  }

  private async waitForDueRecord(): Promise<void> {
    const [head] = this.delayed;
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
