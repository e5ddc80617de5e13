import { createHash, randomBytes } from "node:crypto";

/** Keys are secrets: an unsalted digest would let a reader of the log test guessed keys against it. */
const salt = randomBytes(16);
const digestLength = 10;

/** Digests a caller's key for the log. Equal keys give equal digests, but only within this process. */
export function digestKey(key: string): string {
  return createHash("sha256").update(salt).update(key).digest("hex").slice(0, digestLength);
}
