import pg from "pg";
import type { DisposableStore, Target, TargetStatus, Term } from "../../src/model/index.js";
import { startGroup } from "../../standin/index.js";
import type { StandinTarget, StandinTargetOptions } from "../../standin/target/index.js";

export const term = (round: number, vm = "vm-1"): Term => ({ round, vm });

export async function startTargets(
  store: DisposableStore,
  count: number,
  options: Partial<StandinTargetOptions> = {},
): Promise<readonly StandinTarget[]> {
  const dataCentres = ["palermo", "barracas", "belgrano"].slice(0, count);
  const quick = { connectMs: 0, serviceMs: 0 };
  const group = await startGroup(store, { ...quick, ...options, name: "ledger", dataCentres });
  return group.targets;
}

export function followInTerm(replica: StandinTarget, primary: StandinTarget | undefined, of: Term) {
  if (primary === undefined) throw new Error("no primary");
  return replica.member.follow({ name: primary.name, address: primary.address, term: of });
}

export async function connectTo({ address }: Pick<Target, "address">): Promise<pg.Client> {
  const client = new pg.Client({ ...address, user: "paying", database: "ledger" });
  client.on("error", () => undefined);
  await client.connect();
  return client;
}

export async function waitForStatus(
  target: StandinTarget,
  isMet: (status: TargetStatus) => boolean,
): Promise<void> {
  while (!isMet(target.member.status)) {
    await new Promise<void>((resolve) => {
      const end = target.member.subscribe(() => {
        end();
        resolve();
      });
    });
  }
}

/** Returns the SQLSTATE with which a query fails, or its command when it succeeds. */
export async function findSqlState(query: Promise<pg.QueryResult>): Promise<string | undefined> {
  try {
    return (await query).command;
  } catch (error) {
    return error instanceof pg.DatabaseError ? error.code : String(error);
  }
}
