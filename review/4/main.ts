import { setTimeout as sleep } from "node:timers/promises";
import { runSyncReplicas } from "../lib-2/sync-replicas.js";

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
}: Parameters<Parameters<typeof runSyncReplicas>[1]>[0]): Promise<void> {
  if (!hasTrouble) {
    await sleep(deafMs + crashedMs);
    return;
  }
  announce(near, "draining");
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

process.exitCode = await runSyncReplicas(process.env.CASE_FOLDER ?? "review/4", disrupt).catch(
  (error: unknown) => {
    console.error(error);
    return 2;
  },
);
