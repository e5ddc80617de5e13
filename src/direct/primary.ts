/** The usual duration of a change of primary, in milliseconds; callers are first told to retry after it. */
export const typicalChangeMs = 900;

/** Which target is a group's primary, as far as this proxy may rely on it. */
export type PrimaryState =
  | { readonly type: "serving"; readonly target: string }
  /** Temporarily no primary may be used; one is expected after `readyInMs`. */
  | { readonly type: "changing"; readonly readyInMs: number; readonly reason: string }
  /** No primary is known, or this proxy may not rely on the one that it knows. */
  | { readonly type: "unknown"; readonly reason: string };

/** Finds the primaries of groups. Query it at each use: the permission to rely on the result expires. */
export interface PrimarySource {
  find(group: string): PrimaryState;
  /** Records whether a statement was answered by the target as primary. */
  noteContact(group: string, target: string, isReached: boolean): void;
  /** Reports that the primary restarted without commits that it had acknowledged. */
  noteLostLog(group: string, target: string): void;
  /**
   * Reports that a command sent to the primary at `since` is still unanswered. Ignored if the primary has
   * answered another statement since.
   */
  noteSilence(group: string, target: string, since: number): void;
}
