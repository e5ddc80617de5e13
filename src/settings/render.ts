import { stringify } from "yaml";
import type { Condition, Rule, RuleAction } from "../model/index.js";
import type { ConfigurationFile } from "./configuration.js";
import { formatDuration } from "./duration.js";

/** Renders teams and rules as YAML that `loadConfigurationFile` can load. */
export function renderConfigurationFile(file: ConfigurationFile): string {
  const { revision, teams, rules } = file;
  return stringify(
    {
      ...(revision === undefined ? {} : { revision }),
      teams: teams.map(({ name, plan }) => ({ name, plan })),
      rules: rules.map(renderRule),
    },
    { collectionStyle: "block", lineWidth: 100 },
  );
}

function renderRule({ name, when, then }: Rule) {
  return { name, ...(hasConditions(when) ? { when } : {}), then: renderAction(then) };
}

function hasConditions(when: Condition): boolean {
  return Object.keys(when).length > 0;
}

function renderAction(action: RuleAction) {
  switch (action.type) {
    case "serve": {
      const { route } = action;
      return {
        serve: {
          route: route.type === "stale" ? "replica" : route.type,
          ...(route.type === "stale" ? { stale: formatDuration(route.maxAgeMs) } : {}),
          class: action.priority,
          deadline: formatDuration(action.deadlineMs),
          queue: formatDuration(action.maxQueueMs),
          retry: action.retry.attempts,
          acknowledge: action.acknowledgement,
        },
      };
    }
    case "refuse":
      return {
        refuse: { retryAfter: formatDuration(action.retryAfterMs), reason: action.reason },
      };
  }
}
