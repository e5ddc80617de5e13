import { priorities, type Priority } from "../../model/index.js";
import { emptyClass } from "./queue.js";
import type { Admission, ClassName, ClassQueue, LevelClass } from "./types.js";

const levelPrefix = "level ";

/** The highest level, and so the least important: messages between nodes carry it in 32 bits. */
export const maxLevel = 2 ** 32 - 1;

/**
 * The places of the fixed classes among the levels. Statements without a level come from nodes of an earlier
 * build or from routes without a valid level: `critical` stands for the levels 0 and 1 and `normal` for all
 * from 2 on, so each follows the first level that it may stand for.
 */
const fixedRanks: Readonly<Record<Priority, number>> = {
  critical: 0.5,
  normal: 2.5,
  browsing: maxLevel + 1,
  trial: maxLevel + 2,
};

/** The class in which a request waits: that of its level, or its priority if it has none. */
export function findClassName(request: {
  readonly priority: Priority;
  readonly level?: number;
}): ClassName {
  return request.level === undefined ? request.priority : `${levelPrefix}${request.level}`;
}

/** Whether a class is that of a level. */
export function isLevelClass(name: ClassName): name is LevelClass {
  return name.startsWith(levelPrefix);
}

/** Negative if the first class is more important than the second. */
export function compareClasses(a: ClassName, b: ClassName): number {
  return findRank(a) - findRank(b);
}

/** The queue of a class; an empty one if the class is unknown. */
export function getClass(admission: Pick<Admission, "classes">, name: ClassName): ClassQueue {
  return admission.classes[name] ?? emptyClass;
}

/** The known classes that are more important than a class, the most important first. */
export function listClassesAbove(admission: Admission, name: ClassName): readonly ClassName[] {
  return admission.order.filter((other) => compareClasses(other, name) < 0);
}

/** The known classes that are less important than a class, the most important first. */
export function listClassesBelow(admission: Admission, name: ClassName): readonly ClassName[] {
  return admission.order.filter((other) => compareClasses(other, name) > 0);
}

/** Adds a class to the ordered list of the known classes. */
export function insertClass(order: readonly ClassName[], name: ClassName): readonly ClassName[] {
  return order.includes(name) ? order : [...order, name].sort(compareClasses);
}

/**
 * Removes the classes of levels that nothing waits in and whose retry times have passed, so that levels that
 * are no longer in use take no memory.
 */
export function dropIdleLevels(admission: Admission, at: number): Admission {
  const isIdle = (name: ClassName) => {
    const { size, teams, lastRetryAt } = getClass(admission, name);
    return isLevelClass(name) && size === 0 && teams === undefined && lastRetryAt <= at;
  };
  const idle = admission.order.filter(isIdle);
  if (idle.length === 0) return admission;
  const kept = Object.entries(admission.classes).filter(
    ([name]) => !idle.includes(name as ClassName),
  );
  return {
    ...admission,
    order: admission.order.filter((name) => !idle.includes(name)),
    classes: Object.fromEntries(kept) as unknown as Admission["classes"],
  };
}

/**
 * The share of the starts that a class gets while more important ones have waiting requests. Levels have the
 * shares of the fixed classes by their place among the known levels: the first that of `critical`, the second
 * that of `normal`, all others that of `browsing`. `critical` and the first level are guaranteed everything
 * only where no other class comes before them.
 */
export function findGuaranteedShare(admission: Admission, name: ClassName): number {
  const { guaranteedShare } = admission.settings;
  const above = listClassesAbove(admission, name);
  if (!isLevelClass(name)) {
    return name === "critical" && above.length > 0 ? guaranteedShare.normal : guaranteedShare[name];
  }
  if (above.length === 0) return guaranteedShare.critical;
  return above.filter(isLevelClass).length <= 1 ? guaranteedShare.normal : guaranteedShare.browsing;
}

/** The list of the fixed classes, before any level is known. */
export const fixedClasses: readonly ClassName[] = priorities;

function findRank(name: ClassName): number {
  return isLevelClass(name) ? Number(name.slice(levelPrefix.length)) : fixedRanks[name];
}
