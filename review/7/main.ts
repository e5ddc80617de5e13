import { setTimeout as sleep } from "node:timers/promises";
import { runCase } from "../lib-2/case.js";
import { runWriters, type Scene } from "../lib-2/writers.js";

/* The primary is partitioned for a while; the other two backends crash just before the partition ends. */

const hasTrouble = process.env.TROUBLE !== "0";
const cutMs = 5500;
const crashBeforeHealMs = 300;
const replicaCrashedMs = 4500;
const crashedMs = 7000;

async function disrupt({ primary, near, deaf, crash, restart, cut, heal }: Scene): Promise<void> {
  if (!hasTrouble) {
    await sleep(cutMs + crashedMs);
    return;
  }
  cut(primary);
  await sleep(cutMs - crashBeforeHealMs);
  crash(near);
  crash(deaf);
  await sleep(crashBeforeHealMs);
  heal(primary);
  await sleep(replicaCrashedMs - crashBeforeHealMs);
  await restart(deaf);
  await sleep(crashedMs - replicaCrashedMs);
  await restart(near);
}

const judged = { rule: "ONE", syncReplicas: 0 } as const;
const folder = process.env.CASE_FOLDER ?? "review/7";
await runCase(() => runWriters(folder, judged, disrupt));
