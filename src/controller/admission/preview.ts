import { checkWait } from "./refusal.js";
import type { Admission, AdmissionRequest } from "./types.js";

/** What would become of a request that arrived now. */
export interface RequestPreview {
  /** The mean of its estimated wait; Infinity when no candidate has slots and none is expected to. */
  readonly waitMs: number;
  /** False if the estimate alone would refuse it. */
  readonly isAdmitted: boolean;
}

/** Estimates what would become of a request that arrived now, without adding it to the queue. */
export function previewRequest(
  admission: Admission,
  request: Omit<AdmissionRequest, "id">,
  at: number,
): RequestPreview {
  const waiting = { ...request, id: "", seq: admission.nextSeq, arrivedAt: at };
  const { estimate, reason } = checkWait(admission, waiting, at);
  return { waitMs: estimate.waitMs, isAdmitted: reason === undefined };
}
