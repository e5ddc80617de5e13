import { setTimeout as sleep } from "node:timers/promises";
import { runCase } from "../lib-2/case.js";
import { runWriters, type Scene } from "../lib-2/writers.js";

/* A planned shutdown of one replica; the other receives nothing for a while, and the primary crashes meanwhile. */

const hasTrouble = process.env.TROUBLE !== "0";
const deafMs = 6500;
const crashedMs = 7000;

async function disrupt({
  primary,
  near,
  deaf,
  group,
  record,
  announce,
  crash,
  restart,
}: Scene): Promise<void> {
  announce(near, "draining");
  if (!hasTrouble) {
    await sleep(deafMs + crashedMs);
    return;
  }
  await sleep(1000);
  deaf.isReceiving = false;
  record(`${deaf.id} receives nothing for ${deafMs} ms`);
  setTimeout(() => {
    deaf.isReceiving = true;
    group.replicate();
  }, deafMs);
  await sleep(2000);
  crash(primary);
  await sleep(crashedMs);
  await restart(primary);
}

const judged = { rule: "LOST", syncReplicas: 1 } as const;
const folder = process.env.CASE_FOLDER ?? "review/4";
await runCase(() => runWriters(folder, judged, disrupt));
