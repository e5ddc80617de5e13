import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { Deployment, type RunningNode } from "../lib/deployment.js";
import { LineClient, type Answer } from "../lib/line-client.js";
import { CaseRecord } from "../lib/record.js";

const hasTrouble = process.env.TROUBLE !== "0";
const record = new CaseRecord(join("review", "3", "record.txt"));

const database = "consulta-1";
const graceMs = 6000;
const timeoutMs = 1500;
/** What one statement takes at its backend, and what a client needs at least and at most between two of them. */
const workMs = 220;
const minPauseMs = 120;
const maxPauseMs = 240;
const sessions = 16;
const statements = 12;
/** From the SIGTERM to the first transaction, and to the last one. */
const firstBeginMs = 700;
const lastBeginMs = 1100;
/** A backend records a run when it ends. */
const settleMs = 1000;

interface Request {
  readonly id: string;
  readonly sentAt: number;
  readonly endedAt: number;
  readonly answer: Answer;
}

async function main(): Promise<number> {
  const deployment = await Deployment.start({
    nodes: 3,
    routes: [{ host: database, type: "bounded_staleness", timeoutMs }],
    slots: 5,
    lagMs: 60,
    promoteMs: 300,
    getWorkMs: (text) => (text.startsWith("READ ") ? workMs : 0),
  });
  try {
    return await run(deployment);
  } finally {
    deployment.stop();
    record.write();
  }
}

async function run(deployment: Deployment): Promise<number> {
  const [node] = deployment.nodes;
  if (node === undefined) return 2;
  await sleep(3000);
  const clients = await Promise.all(
    Array.from({ length: sessions }, () => LineClient.open(node.frontend, database)),
  );
  for (const [index, client] of clients.entries()) await client.query(`warm${index}`, "READ k0");
  let stoppedAt = record.now;
  if (hasTrouble) {
    stoppedAt = record.now;
    record.print(`SIGTERM to ${node.name}`);
    node.process.kill("SIGTERM");
    setTimeout(() => node.process.kill("SIGKILL"), graceMs);
  }
  const requests: Request[] = [];
  const ended = clients.map(async (client, index) => {
    await sleep(draw(firstBeginMs, lastBeginMs));
    await runTransaction(client, index, requests, stoppedAt);
  });
  await Promise.all(ended);
  await sleep(settleMs);
  return judge(deployment, node, requests, stoppedAt);
}

/** A transaction of twelve reads with pauses. Its client ends it at the first error. */
async function runTransaction(
  client: LineClient,
  index: number,
  requests: Request[],
  stoppedAt: number,
): Promise<void> {
  const ask = async (id: string, text: string) => {
    const sentAt = record.now;
    const answer = await client.query(id, text);
    const endedAt = record.now;
    requests.push({ id, sentAt, endedAt, answer });
    const outcome = answer.isClosed ? "CLOSED WITHOUT AN ANSWER" : `${answer.end} ${answer.state}`;
    record.note(
      `${id} ${text}: sent ${Math.round(sentAt - stoppedAt)} ms, ended ${Math.round(endedAt - stoppedAt)} ms after the SIGTERM: ${outcome}`,
    );
    return answer;
  };
  const begun = await ask(`s${index}begin`, "BEGIN READ");
  if (begun.isClosed) return;
  for (let i = 0; i < statements; i += 1) {
    const answer = await ask(`s${index}read${i}`, `READ k${index}`);
    if (answer.isClosed) return;
    if (answer.state !== "T") break;
    await sleep(draw(minPauseMs, maxPauseMs));
  }
  await ask(`s${index}end`, "ROLLBACK");
  client.end();
}

function judge(
  { backends }: Deployment,
  node: RunningNode,
  requests: readonly Request[],
  stoppedAt: number,
): number {
  const runs = new Set(backends.flatMap(({ target }) => target.runs.map(({ id }) => id)));
  const cut = requests.filter(({ answer }) => answer.isClosed);
  const broken = cut.filter(({ id, sentAt, endedAt }) => {
    const isLateRequest = sentAt - stoppedAt > 3000;
    const isInSpan = endedAt - stoppedAt < graceMs + 1000;
    const hasTimeLeft = endedAt - sentAt < 0.7 * timeoutMs;
    return runs.has(id) && isLateRequest && isInSpan && hasTimeLeft;
  });
  record.print(
    `${requests.length} requests to ${node.name}, ${cut.length} ended without an answer; LOST counts ${broken.length}`,
  );
  for (const { id, sentAt, endedAt } of broken) {
    record.print(
      `LOST: ${id}, sent ${Math.round(sentAt - stoppedAt)} ms after the SIGTERM and run by a backend, was cut after ${Math.round(endedAt - sentAt)} ms`,
    );
  }
  if (requests.length < sessions * 2) {
    record.print("the case could not run: too few requests");
    return 2;
  }
  return broken.length > 0 ? 1 : 0;
}

function draw(from: number, to: number): number {
  return from + Math.random() * (to - from);
}

main().then(
  (code) => process.exit(code),
  (error: unknown) => {
    console.error(error);
    process.exit(2);
  },
);
