// Takes out one safeguard after the other, in a copy of the tree, and shows that the tests named for
// it turn red; an argument chooses those whose tests' names have it. Each is a piece of text that is replaced in one file. Ends with a table.
import { spawnSync } from "node:child_process";
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";

const safeguards = [
  {
    invariant: "A team is served within its rate",
    safeguard: "the founders of a first start issue tokens sooner than those that join",
    file: "src/rates/shares.ts",
    find: 'this.role === "founder" ? founderIssueDelayMs : issueDelayMs',
    put: "issueDelayMs",
    tests: "test/rates/founders",
  },
  {
    invariant: "No team exceeds its rate",
    safeguard: "a proxy that may be a founder is included at once",
    file: "src/rates/shares.ts",
    find: "if (confirmedAt === undefined || !this.isAfterFounding(confirmedAt)) return now;",
    put: "if (confirmedAt === undefined) return now;",
    tests: "test/rates/founders",
  },
  {
    invariant: "No team exceeds its rate",
    safeguard: "a proxy that was cut off includes those that joined meanwhile when they begin",
    file: "src/rates/shares.ts",
    find: "return confirmedAt + countDelayMs;",
    put: "return now + countDelayMs;",
    tests: "test/rates/founders",
  },
  {
    invariant: "No statement reaches a target that has left",
    safeguard: "an old listing is not used while the store answers",
    file: "src/feed/departure.ts",
    find: "  if (storeAnsweredAt - currentAt <= storeAnswerSpreadMs) return false;",
    put: "  return false;",
    tests: "test/node/leaving",
  },
  {
    invariant: "No statement reaches a target that has left",
    safeguard: "a leaving primary is used until its drain timeout at most",
    file: "src/feed/state.ts",
    find: "  return isPastDrain(departure, isLeaving, drainTimeoutMs, now);",
    put: "  return false;",
    tests: "test/node/leaving",
  },
  {
    invariant: "No statement reaches a target that has left",
    safeguard: "a statement that has waited is not sent after its target's drain timeout",
    file: "src/direct/attempt.ts",
    find: "  if (context.ports.hasDrained(placement.target)) return drainedReason;",
    put: "",
    tests: "test/direct/superseded",
  },
  {
    invariant: "A slow fleet recovers",
    safeguard: "a primary is kept while no other target answers either",
    file: "src/leadership/changer.ts",
    find: 'if (type !== "unreachable") return Promise.resolve(true);',
    put: "return Promise.resolve(true);",
    tests: "test/leadership/changer",
  },
  {
    invariant: "A slow fleet recovers",
    safeguard: "a few peers are asked for a confirmation before all",
    file: "src/node/confirmer.ts",
    find: "const firstPeers = 3;",
    put: "const firstPeers = 300;",
    tests: "test/node/confirmer",
  },
  {
    invariant: "A slow fleet recovers",
    safeguard: "late answers lengthen timeouts",
    file: "src/system/response-times.ts",
    find: "      this.record(this.now() - startedAt);",
    put: "      if (!isLate) this.record(this.now() - startedAt);",
    tests: "test/system/response-times",
  },
  {
    invariant: "A slow fleet recovers",
    safeguard: "a connection whose greeting is late is kept",
    file: "src/gateway/connection.ts",
    find: "      this.handlers.onSlow(reason);",
    put: "      this.channel.close(reason);",
    tests: "test/gateway/hop",
  },
  {
    invariant: "A team is served within its rate",
    safeguard: "late answers bring tokens",
    file: "src/node/rates.ts",
    find: "const tokenRequestTimeoutMs = 1000;",
    put: "const tokenRequestTimeoutMs = 50;",
    tests: "test/node/token-requests",
  },
  {
    invariant: "A team is served within its rate",
    safeguard: "silent issuers are asked last, not never",
    file: "src/node/rates.ts",
    find: "      silent: names.filter(isSilent),",
    put: "      silent: [],",
    tests: "test/node/token-requests",
  },
  {
    invariant: "No write is acknowledged by a superseded primary",
    safeguard: "a write's outcome is held until a majority confirms it",
    file: "src/owner/filters/confirm.ts",
    find: "  return context.answer.tags.length > 0;",
    put: "  return context.answer.tags.length > 1000;",
    also: {
      file: "src/owner/filters/attempt.ts",
      find: "  return group.watchTerm(term, abort);",
      put: "  return undefined;",
    },
    tests: "test/owner/failover",
  },
  {
    invariant: "No write is acknowledged by a superseded primary",
    safeguard: "confirmations are asked for after the commit",
    file: "src/controller/acknowledge/acknowledgement.ts",
    find: "const isFresh = answer.askedAt >= round.since || !state.safeguards.freshness;",
    put: "const isFresh = true;",
    tests: "test/failover",
  },
  {
    invariant: "A session has read-your-writes consistency",
    safeguard: "a replica serves only marks that it holds",
    file: "src/policy/route.ts",
    find: "  return findMarkCoverage(target.status.lineage, target.status.mark, mark);",
    put: '  return { type: "reached" };',
    tests: "test/policy",
  },
  {
    invariant: "A session has read-your-writes consistency",
    safeguard: "a session without a mark is floored",
    file: "src/owner/filters/floor.ts",
    find: "if (mark !== undefined || !isBound) return next(context);",
    put: "if (mark !== undefined || isBound || !isBound) return next(context);",
    tests: "test/owner/serve",
  },
  {
    invariant: "At most once",
    safeguard: "a keyed write runs with its record in one transaction",
    file: "src/owner/filters/deduplicate.ts",
    find: 'if (idempotency === undefined || traits.effect === "read"',
    put: 'if (idempotency !== undefined || traits.effect === "read"',
    tests: "test/owner/serve",
  },
  {
    invariant: "At most once",
    safeguard: "a write without a key that may have run is not tried again",
    file: "src/filter/retry.ts",
    find: 'effect: canRepeat ? "read" : request.traits.effect,',
    put: 'effect: "read",',
    tests: "test/filter",
  },
  {
    invariant: "A refusal as not run is true",
    safeguard: "an earlier try that may have run is not forgotten",
    file: "src/filter/retry.ts",
    find: "if (delayMs === undefined) return unknown ?? outcome;",
    put: "if (delayMs === undefined) return outcome;",
    tests: "test/filter",
  },
  {
    invariant: "A refusal as not run is true",
    safeguard: "what was sent on a connection that broke may have run",
    file: "src/owner/filters/execute.ts",
    find: "if (result.sent) return failUnknown",
    put: "if (!result.sent) return failUnknown",
    tests: "test/owner/failover",
  },
  {
    invariant: "Two transactions never mix on one connection",
    safeguard: "a connection with an open transaction stays with its conversation",
    file: "src/owner/filters/connect.ts",
    find: '  else if (outcome.status === "I") connection.release();',
    put: "  else if (outcome.status.length > 0) connection.release();",
    tests: "test/owner/serve",
  },
  {
    invariant: "An accepted configuration never reverts",
    safeguard: "only a greater revision is adopted",
    file: "src/controller/configuration/state.ts",
    find: "  if (revision <= state.inForce.revision) return rejectOffer",
    put: "  if (revision < 0) return rejectOffer",
    tests: "test/fleet",
  },
  {
    invariant: "A caller receives the whole answer to its own request",
    safeguard: "an answer that nobody asked for closes the connection",
    file: "src/target/session.ts",
    find: 'if (!asynchronousCodes.has(message[0] ?? 0)) this.terminate("unexpected message");',
    put: "void asynchronousCodes.has(message[0] ?? 0);",
    tests: "test/target",
  },
  {
    invariant: "A leaving target gets no new work",
    safeguard: "a leaving target is no candidate",
    file: "src/owner/routing.ts",
    find: 'if (target.isLeaving === true) return "leaving";',
    put: "",
    also: { file: "src/owner/group.ts", find: "this.pools.get(name)?.drain();", put: "" },
    tests: "test/owner/leaving",
  },
  {
    invariant: "A non-idempotent request runs at most once",
    safeguard: "a write that was sent to a gateway is never sent to another",
    file: "src/gateway/runner.ts",
    find: 'if (!result.isSent || effect === "read") return undefined;',
    put: "if (!result.isSent || effect !== undefined) return undefined;",
    tests: "test/gateway/hop",
  },
  {
    invariant: "A request refused as not run did not run",
    safeguard: "nothing is sent before a gateway's greeting",
    file: "src/gateway/connection.ts",
    find: "  private isGreeted = false;",
    put: "  private isGreeted = true;",
    tests: "test/gateway/hop",
  },
  {
    invariant: "Two transactions never mix on one connection",
    safeguard: "a transaction that its node ended during a statement is rolled back after it",
    file: "src/gateway/served.ts",
    find: "if (held?.body.isRunning === true) held.isEnded = true;",
    put: "if (held === undefined) return;",
    also: {
      file: "src/gateway/served.ts",
      find: "    else held?.body.rollback(held.context);",
      put: "    held.body.rollback(held.context);",
    },
    tests: "test/gateway/hop",
  },
  {
    invariant: "Connections to targets come free",
    safeguard: "a transaction that began for nobody is rolled back",
    file: "src/direct/transaction.ts",
    find: "    if (context.disconnectSignal.aborted) {",
    put: "    if (context.disconnectSignal.aborted && !context.disconnectSignal.aborted) {",
    tests: "test/gateway/hop",
  },
  {
    invariant: "A caller is not left waiting by a silent gateway",
    safeguard: "a connection without traffic is probed",
    file: "src/gateway/liveness.ts",
    find: "else this.options.onTimeout();",
    put: "else this.waitForData();",
    tests: "test/gateway/hop",
  },
  {
    invariant: "A node's death rolls its transactions back",
    safeguard: "the end of a node's connection ends its transactions",
    file: "src/gateway/served.ts",
    find: "    for (const id of [...this.transactions.keys()]) this.endTransaction(id);",
    put: "",
    tests: "test/gateway/hop",
  },
  {
    invariant: "A statement runs in its own team's name",
    safeguard: "a connection is granted to the team that it was opened for",
    file: "src/controller/connections/grant.ts",
    find: "c.team === team && ",
    put: "",
    tests: "test/connections/teams",
  },
  {
    invariant: "A key that was taken away runs nothing",
    safeguard:
      "an open transaction is rolled back when its caller's key stands for its team no more",
    file: "src/direct/session.ts",
    find: 'if (identity.type !== "unknown" && team === transaction.context.team?.name) return;',
    put: "if (team !== undefined || team === undefined) return;",
    tests: "test/node/keys",
  },
  {
    invariant: "A key that was taken away runs nothing",
    safeguard: "a node that the store turns away copies what its peers have read",
    file: "src/node/follower.ts",
    find: "if (peer !== undefined) await this.copyFrom(peer, revision);",
    put: "",
    tests: "test/node/keys",
  },
  {
    invariant: "No window has more of a team's operations than its bound",
    safeguard: "tokens expire",
    file: "src/rates/pool.ts",
    find: "filter(({ tokens, expiresAt }) => tokens > 0 && now < expiresAt)",
    put: "filter(({ tokens, expiresAt }) => tokens > 0 && expiresAt > 0)",
    tests: "test/rates",
  },
  {
    invariant: "No window has more of a team's operations than its bound",
    safeguard: "tokens that are given to another process are removed here",
    file: "src/rates/pool.ts",
    find: "      batch.tokens -= part;\n      missing -= part;\n      tokens += part;",
    put: "      missing -= part;\n      tokens += part;",
    tests: "test/rates",
  },
  {
    invariant: "No window has more of a team's operations than its bound",
    safeguard: "a process that starts has no tokens",
    file: "src/rates/pool.ts",
    find: "let from = Math.max(this.issuedUntil, now - lifeMs);",
    put: "let from = Math.max(this.batches.length === 0 ? 0 : this.issuedUntil, now - lifeMs);",
    tests: "test/rates",
  },
  {
    invariant: "No window has more of a team's operations than its bound",
    safeguard: "a proxy that joins is counted before it issues tokens",
    file: "src/rates/shares.ts",
    find: "known.get(vm)?.countedFrom ?? now + (vm === this.vm ? issueDelayMs : countDelayMs);",
    put: "known.get(vm)?.countedFrom ?? now;",
    tests: "test/rates",
  },
];

const folders = ["src", "platform", "standin", "test", "bench", "docs", "config"];
const files = ["package.json", "jest.config.js", "tsconfig.json"];

/** Replaces the text; false when the file does not have it. */
function edit(copy, { file, find, put }) {
  const path = join(copy, file);
  const text = readFileSync(path, "utf8");
  writeFileSync(path, text.replace(find, put));
  return text.includes(find);
}

function runMutant({ tests, also, ...change }) {
  const copy = mkdtempSync(join(tmpdir(), "radishwalk-safeguard-"));
  for (const name of [...folders, ...files]) cpSync(name, join(copy, name), { recursive: true });
  symlinkSync(resolve("node_modules"), join(copy, "node_modules"));
  const isEdited = [change, ...(also === undefined ? [] : [also])].every((c) => edit(copy, c));
  if (!isEdited) return "text not found";
  const args = ["--experimental-vm-modules", "node_modules/jest/bin/jest.js", tests, "--silent"];
  const run = spawnSync(process.execPath, [...args, "--forceExit"], {
    cwd: copy,
    stdio: "ignore",
    timeout: 120_000,
  });
  rmSync(copy, { recursive: true });
  if (run.error?.code === "ETIMEDOUT") return "timeout";
  return run.status === 0 ? "GREEN" : "red";
}

const [wanted = ""] = process.argv.slice(2);
const chosen = safeguards.filter(({ tests }) => tests.includes(wanted));
const rows = chosen.map((s) => ({ ...s, off: runMutant(s) }));
for (const { invariant, safeguard, tests, off } of rows) {
  console.log(`| ${invariant} | ${safeguard} | \`${tests}\` | ${off} |`);
}
const odd = rows.filter(({ off }) => off !== "red");
console.log(`${rows.length - odd.length} red without their safeguard, ${odd.length} not`);
process.exit(odd.length === 0 ? 0 : 1);
