import type { Acknowledgement, Term } from "../../src/model/index.js";
import type { Rig } from "./rig.js";

const confirmMs = 10_000;

/** Writes as an owner's execution does; tells whether the write may be acknowledged. */
export async function writeOnce(rig: Rig, mode: Acknowledgement): Promise<boolean> {
  const { primary } = rig.watch.getView();
  if (primary === undefined) return false;
  if (!(await rig.write(primary.target))) {
    rig.watch.reportConnectionFailure(primary.target);
    return false;
  }
  return confirmOnce(rig, primary, mode);
}

async function confirmOnce(
  { watch }: Rig,
  primary: { readonly target: string; readonly term: Term },
  mode: Acknowledgement,
): Promise<boolean> {
  const reading = await watch.readMark(primary.target, mode);
  if (reading.type !== "read") return false;
  const signal = AbortSignal.timeout(confirmMs);
  const { mark, askedAt } = reading;
  return (await watch.confirm(primary.term, mark, mode, signal, askedAt)).type === "confirmed";
}

/** Resolves when the view names a primary other than `target`, at once if it does. */
export function waitForPrimary(rig: Rig, not?: string): Promise<void> {
  return new Promise((resolve) => {
    const check = (): void => {
      const { primary } = rig.watch.getView();
      if (primary === undefined || primary.target === not) return;
      void subscription.dispose();
      resolve();
    };
    const subscription = rig.watch.subscribe(check);
    check();
  });
}
