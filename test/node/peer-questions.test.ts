import { expect, test } from "@jest/globals";
import type { TargetAnswer } from "../../src/leadership/index.js";
import { PeerQuestions } from "../../src/node/peer-questions.js";

interface Setup {
  readonly answer: TargetAnswer;
  readonly primary?: string;
  readonly isSlotPlanned?: boolean;
  readonly demoteRound?: number;
}

/** Answers a question about target "p", and returns what was noted of it. */
async function ask({ answer, primary = "p", isSlotPlanned = true, demoteRound }: Setup) {
  const noted: unknown[] = [];
  let checks = 0;
  const questions = new PeerQuestions({
    clock: { now: () => 70 },
    targetStatus: { ask: () => Promise.resolve(answer) },
    tracker: {
      findKnownPrimary: () => primary,
      noteProbeResult: (...result) => noted.push(result),
    },
    isSlotPlanned: () => isSlotPlanned,
    onSilentPrimary: () => (checks += 1),
  });
  const given = await questions.answer({ group: "ledger", target: "p", demoteRound });
  return { given, noted, checks };
}

const silent: TargetAnswer = { type: "silent" };

// A primary crashes, and the only gateway that runs statements there is far from the store, whose answers to it take
// seconds. If the processes that it asks did not suspect the primary too, its group would be refused for that time.
test("a process that finds a primary silent for a peer suspects it too", async () => {
  const { given, noted, checks } = await ask({ answer: silent });
  expect(given).toEqual(silent);
  expect(noted).toEqual([["ledger", "p", 70, false]]);
  expect(checks).toBe(1);
});

// A change of primary demotes the old one and asks the other targets; neither says anything about the primary.
test.each<Setup>([
  { answer: { type: "alive" } },
  { answer: silent, primary: "q" },
  { answer: silent, demoteRound: 2 },
  { answer: silent, isSlotPlanned: false },
])("nothing is suspected after %j", async (setup) => {
  const { given, noted, checks } = await ask(setup);
  expect(given).toEqual(setup.answer);
  expect(noted).toEqual([]);
  expect(checks).toBe(0);
});

// A healthy primary was silent once for a process that sends it no statements. Without an end of the suspicion, that
// process would ask its peers every 1.6 s for ever, and each of its samples could replace the primary.
test.each(["for this process", "for a peer"])(
  "an answer given %s ends the suspicion",
  async (by) => {
    const answers: TargetAnswer[] = [{ type: "silent" }, { type: "silent" }, { type: "alive" }];
    const noted: boolean[] = [];
    const questions = new PeerQuestions({
      clock: { now: () => 70 },
      targetStatus: { ask: () => Promise.resolve(answers.shift() ?? { type: "alive" }) },
      tracker: {
        findKnownPrimary: () => "p",
        noteProbeResult: (_group, _target, _since, isReached) => noted.push(isReached),
      },
      isSlotPlanned: () => true,
      onSilentPrimary: () => undefined,
    });
    const question = { group: "ledger", target: "p", demoteRound: undefined };
    const again = () =>
      by === "for a peer" ? questions.answer(question) : questions.ask(question, 200);
    await questions.answer(question);
    await questions.ask(question, 200);
    expect(noted).toEqual([false]);
    await again();
    expect(noted).toEqual([false, true]);
    await again();
    expect(noted).toEqual([false, true]);
  },
);
