import { setTimeout as sleep } from "node:timers/promises";
import { runCase } from "../lib-2/case.js";
import { runWriters, type Scene } from "../lib-2/writers.js";

/* One replica receives nothing for a while and the primary crashes meanwhile, as the other replica restarts after a crash. */

const hasTrouble = process.env.TROUBLE !== "0";
const deafMs = 6500;
const replicaCrashedMs = 4500;
const crashedMs = 7000;

async function disrupt({
  primary,
  near,
  deaf,
  group,
  record,
  crash,
  restart,
}: Scene): Promise<void> {
  if (!hasTrouble) {
    await sleep(deafMs + crashedMs);
    return;
  }
  deaf.isReceiving = false;
  record(`${deaf.id} receives nothing for ${deafMs} ms`);
  setTimeout(() => {
    deaf.isReceiving = true;
    group.replicate();
  }, deafMs);
  await sleep(2000);
  crash(near);
  crash(primary);
  await sleep(replicaCrashedMs);
  await restart(near);
  await sleep(crashedMs - replicaCrashedMs);
  await restart(primary);
}

const judged = { rule: "LOST", syncReplicas: 1 } as const;
const folder = process.env.CASE_FOLDER ?? "review/5";
await runCase(() => runWriters(folder, judged, disrupt));
