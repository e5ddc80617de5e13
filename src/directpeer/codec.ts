import type { Json, Mark } from "../model/index.js";
import {
  decodeLeadership,
  emptyLeadership,
  encodeLeadership,
  type LeadershipAnswer,
  type LeadershipUpdate,
  type TargetAnswer,
} from "../leadership/index.js";
import type {
  AskTargetResponse,
  ShareRequest,
  ShareResponse,
  TargetReport as TargetReportMessage,
} from "../peer/gen/radishwalk/direct/v1/direct_pb.js";
import type { TargetReport } from "../statement/index.js";

/** Encodes the fields that requests and answers share. */
export function encodeLeadershipUpdate({ leadership, promoted: made }: LeadershipUpdate) {
  return {
    version: leadership.version,
    document: JSON.stringify(encodeLeadership(leadership.document)),
    made: made.map(({ group, round, target }) => ({ group, round, target })),
  };
}

/** Decodes the shared fields. A document that can't be decoded counts as empty, with version 0. */
export function decodeLeadershipUpdate(message: ShareRequest | ShareResponse): LeadershipUpdate {
  const document = decodeLeadership(parseJson(message.document));
  const made = message.made.map(({ group, round, target }) => ({ group, round, target }));
  const leadership =
    document === undefined
      ? { version: 0, document: emptyLeadership }
      : { version: message.version, document };
  return { leadership, promoted: made };
}

/** Decodes an answer. */
export function decodeLeadershipAnswer(message: ShareResponse): LeadershipAnswer {
  const { vm, confirmedAgoMs, listsAsker, storeAgoMs, storeRevision, lookedAgoMs } = message;
  const ages = { confirmedAgoMs, storeAgoMs, lookedAgoMs };
  return { ...decodeLeadershipUpdate(message), vm, listsAsker, storeRevision, ...ages };
}

/** Encodes an answer; fields that are undefined are left out. */
export function encodeLeadershipAnswer(answer: LeadershipAnswer) {
  const { vm, listsAsker, confirmedAgoMs, storeAgoMs, storeRevision, lookedAgoMs } = answer;
  return {
    vm,
    listsAsker,
    ...encodeLeadershipUpdate(answer),
    ...(confirmedAgoMs === undefined ? {} : { confirmedAgoMs }),
    ...(storeAgoMs === undefined ? {} : { storeAgoMs }),
    ...(storeRevision === undefined ? {} : { storeRevision }),
    ...(lookedAgoMs === undefined ? {} : { lookedAgoMs }),
  };
}

/** Encodes a target's answer. */
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

/** Decodes a target's answer. */
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
    // The sender runs another version of the program or sent nothing; the caller handles `undefined`.
    return undefined;
  }
}
