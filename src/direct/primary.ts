/** Who leads a group, as far as this proxy may act on it. */
export type PrimaryState =
  | { readonly type: "serving"; readonly target: string }
  /** None may be used now, for a reason that passes; expected to be over in `backInMs`. */
  | { readonly type: "changing"; readonly readyInMs: number; readonly reason: string }
  /** Nobody is known to lead, or this proxy may not rely on what it knows. */
  | { readonly type: "unknown"; readonly reason: string };

/** Tells who leads; asked at each use, since the permission to rely on it lapses with time. */
export interface PrimarySource {
  find(group: string): PrimaryState;
  /** A statement went through to the primary, or did not. */
  noteContact(group: string, target: string, isReached: boolean): void;
  /** The primary has started again without commits that it had acknowledged. */
  noteLostLog(group: string, target: string): void;
  /** What was sent to the primary at `since` has had no answer for a while, and nothing else has. */
  noteSilence(group: string, target: string, since: number): void;
}
