import { setTimeout as sleep } from "node:timers/promises";
import { runSyncReplicas } from "../lib-2/sync-replicas.js";

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
}: Parameters<Parameters<typeof runSyncReplicas>[1]>[0]): Promise<void> {
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

process.exitCode = await runSyncReplicas(process.env.CASE_FOLDER ?? "review/5", disrupt).catch(
  (error: unknown) => {
    console.error(error);
    return 2;
  },
);
