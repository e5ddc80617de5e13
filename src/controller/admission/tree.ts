/** A persistent ordered map: an AVL tree whose nodes are shared between versions. */
export type Tree<K, V> = Branch<K, V> | undefined;

interface Branch<K, V> {
  readonly key: K;
  readonly value: V;
  readonly left: Tree<K, V>;
  readonly right: Tree<K, V>;
  readonly height: number;
  readonly size: number;
}

type Key = string | number;

/** The number of entries. */
export function countEntries<K, V>(tree: Tree<K, V>): number {
  return tree?.size ?? 0;
}

/** The value under a key. O(log n). */
export function getEntry<K extends Key, V>(tree: Tree<K, V>, key: K): V | undefined {
  let node = tree;
  while (node !== undefined && node.key !== key) node = key < node.key ? node.left : node.right;
  return node?.value;
}

/** The tree with a value put under a key. O(log n). */
export function putEntry<K extends Key, V>(tree: Tree<K, V>, key: K, value: V): Branch<K, V> {
  if (tree === undefined) return makeBranch(key, value, undefined, undefined);
  if (key === tree.key) return makeBranch(key, value, tree.left, tree.right);
  return key < tree.key
    ? balance(tree.key, tree.value, putEntry(tree.left, key, value), tree.right)
    : balance(tree.key, tree.value, tree.left, putEntry(tree.right, key, value));
}

/** The tree without a key. O(log n). */
export function removeEntry<K extends Key, V>(tree: Tree<K, V>, key: K): Tree<K, V> {
  if (tree === undefined) return undefined;
  const { left, right } = tree;
  if (key < tree.key) return balance(tree.key, tree.value, removeEntry(left, key), right);
  if (key > tree.key) return balance(tree.key, tree.value, left, removeEntry(right, key));
  if (left === undefined || right === undefined) return left ?? right;
  const next = findEdge(right, "left");
  return balance(next.key, next.value, left, removeEntry(right, next.key));
}

/** The entry with the least key. O(log n). */
export function findFirstEntry<K, V>(tree: Tree<K, V>): Branch<K, V> | undefined {
  return tree === undefined ? undefined : findEdge(tree, "left");
}

/** The entry with the greatest key. O(log n). */
export function findLastEntry<K, V>(tree: Tree<K, V>): Branch<K, V> | undefined {
  return tree === undefined ? undefined : findEdge(tree, "right");
}

/** The values in the order of their keys. */
export function* listValues<K, V>(tree: Tree<K, V>): Generator<V> {
  const open: Branch<K, V>[] = [];
  for (let node = tree; node !== undefined || open.length > 0;) {
    for (; node !== undefined; node = node.left) open.push(node);
    const least = open.pop();
    if (least === undefined) return;
    yield least.value;
    node = least.right;
  }
}

function findEdge<K, V>(tree: Branch<K, V>, side: "left" | "right"): Branch<K, V> {
  let node = tree;
  for (let next = node[side]; next !== undefined; next = node[side]) node = next;
  return node;
}

function makeBranch<K, V>(key: K, value: V, left: Tree<K, V>, right: Tree<K, V>): Branch<K, V> {
  const height = 1 + Math.max(left?.height ?? 0, right?.height ?? 0);
  const size = 1 + (left?.size ?? 0) + (right?.size ?? 0);
  return { key, value, left, right, height, size };
}

/** Builds a branch whose sides differ by two levels at most, and levels them. */
function balance<K, V>(key: K, value: V, left: Tree<K, V>, right: Tree<K, V>): Branch<K, V> {
  const lean = (left?.height ?? 0) - (right?.height ?? 0);
  if (lean > 1 && left !== undefined) {
    const straight = (left.left?.height ?? 0) >= (left.right?.height ?? 0);
    const top = straight ? left : rotateLeft(left);
    return makeBranch(top.key, top.value, top.left, makeBranch(key, value, top.right, right));
  }
  if (lean < -1 && right !== undefined) {
    const straight = (right.right?.height ?? 0) >= (right.left?.height ?? 0);
    const top = straight ? right : rotateRight(right);
    return makeBranch(top.key, top.value, makeBranch(key, value, left, top.left), top.right);
  }
  return makeBranch(key, value, left, right);
}

function rotateLeft<K, V>(node: Branch<K, V>): Branch<K, V> {
  const top = node.right;
  if (top === undefined) return node;
  const lower = makeBranch(node.key, node.value, node.left, top.left);
  return makeBranch(top.key, top.value, lower, top.right);
}

function rotateRight<K, V>(node: Branch<K, V>): Branch<K, V> {
  const top = node.left;
  if (top === undefined) return node;
  const lower = makeBranch(node.key, node.value, top.right, node.right);
  return makeBranch(top.key, top.value, top.left, lower);
}
