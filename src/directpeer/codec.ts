import type { Json, Mark } from "../model/index.js";
import {
  decodeLeadership,
  emptyLeadership,
  encodeLeadership,
  type LeadershipAnswer,
  type LeadershipWord,
  type TargetAnswer,
} from "../leadership/index.js";
import type {
  AskTargetResponse,
  ShareRequest,
  ShareResponse,
  TargetReport as TargetReportMessage,
} from "../peer/gen/radishwalk/direct/v1/direct_pb.js";
import type { TargetReport } from "../statement/index.js";

/** The fields of a word in either direction. */
export function encodeLeadershipMessage({ leadership, made }: LeadershipWord) {
  return {
    version: leadership.version,
    document: JSON.stringify(encodeLeadership(leadership.document)),
    made: made.map(({ group, round, target }) => ({ group, round, target })),
  };
}

/** Reads a word. A document that can't be read counts as none, of version 0. */
export function decodeLeadershipMessage(message: ShareRequest | ShareResponse): LeadershipWord {
  const document = decodeLeadership(parseJson(message.document));
  const made = message.made.map(({ group, round, target }) => ({ group, round, target }));
  const leadership =
    document === undefined
      ? { version: 0, document: emptyLeadership }
      : { version: message.version, document };
  return { leadership, made };
}

/** Reads the answer to a word. */
export function decodeLeadershipAnswer(message: ShareResponse): LeadershipAnswer {
  const { vm, confirmedAgoMs, listsAsker, storeAgoMs, storeRevision, lookedAgoMs } = message;
  const ages = { confirmedAgoMs, storeAgoMs, lookedAgoMs };
  return { ...decodeLeadershipMessage(message), vm, listsAsker, storeRevision, ...ages };
}

/** Writes the answer to a word. What is not known is left out. */
export function encodeLeadershipAnswer(answer: LeadershipAnswer) {
  const { vm, listsAsker, confirmedAgoMs, storeAgoMs, storeRevision, lookedAgoMs } = answer;
  return {
    vm,
    listsAsker,
    ...encodeLeadershipMessage(answer),
    ...(confirmedAgoMs === undefined ? {} : { confirmedAgoMs }),
    ...(storeAgoMs === undefined ? {} : { storeAgoMs }),
    ...(storeRevision === undefined ? {} : { storeRevision }),
    ...(lookedAgoMs === undefined ? {} : { lookedAgoMs }),
  };
}

/** Writes what a target said to a question. */
export function encodeTargetAnswer(answer: TargetAnswer) {
  switch (answer.type) {
    case "report":
      return { report: encodeReport(answer.report), isAlive: false };
    case "alive":
      return { isAlive: true };
    case "silent":
      return { isAlive: false };
  }
}

/** Reads what a target said to a question. */
export function decodeTargetAnswer({ report, isAlive }: AskTargetResponse): TargetAnswer {
  if (report !== undefined) return { type: "report", report: decodeReport(report) };
  return { type: isAlive ? "alive" : "silent" };
}

function encodeReport({ role, received, round, lagMs }: TargetReport) {
  return {
    isPrimary: role === "primary",
    receivedRound: received.term.round,
    receivedOffset: received.offset,
    round,
    lagMs,
  };
}

function decodeReport(message: TargetReportMessage): TargetReport {
  const received: Mark = {
    term: { round: message.receivedRound, vm: "" },
    offset: message.receivedOffset,
  };
  const { isPrimary, round, lagMs } = message;
  return { role: isPrimary ? "primary" : "replica", received, round, lagMs };
}

function parseJson(text: string): Json | undefined {
  try {
    return JSON.parse(text) as Json;
  } catch {
    // The sender runs another version of the program, or sent nothing: `decodeWord` says so.
    return undefined;
  }
}
