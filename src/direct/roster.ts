import type { Team } from "../model/index.js";

/** The teams of one configuration, indexed by key and by name. Built once per revision. */
export class TeamRoster {
  private readonly byKey = new Map<string, Team>();
  private readonly byName = new Map<string, Team>();
  /** Whether any team has a rate limit. */
  readonly hasRates: boolean;

  constructor(readonly teams: readonly Team[]) {
    this.hasRates = teams.some(({ rate }) => rate !== undefined);
    for (const team of teams) {
      this.byName.set(team.name, team);
      for (const key of team.keys ?? []) this.byKey.set(key, team);
    }
  }

  findByKey(key: string): Team | undefined {
    return this.byKey.get(key);
  }

  findByName(name: string): Team | undefined {
    return this.byName.get(name);
  }
}

/** Whom a caller's key identifies. */
export type CallerIdentity =
  | { readonly type: "team"; readonly team: Team }
  /** No team, but the caller may run statements. */
  | { readonly type: "anonymous" }
  /** No team holds the key, and the database is not public. */
  | { readonly type: "unknown" };

const anonymous: CallerIdentity = { type: "anonymous" };
const unknown: CallerIdentity = { type: "unknown" };

/**
 * Identifies a caller by its key. Without a roster the key is ignored. On a public database a key that a
 * team holds still identifies the team, which then uses its own connections and rate limit.
 */
export function identifyCaller(
  roster: TeamRoster | undefined,
  database: { readonly isPublic?: boolean },
  key: string,
): CallerIdentity {
  if (roster === undefined) return anonymous;
  const team = roster.findByKey(key);
  if (team !== undefined) return { type: "team", team };
  return database.isPublic === true ? anonymous : unknown;
}
