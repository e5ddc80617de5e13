/**
 * A persistent ordered map: an AVL tree whose versions share unchanged nodes. `undefined` is empty.
 */
export type Tree<K, V> = TreeNode<K, V> | undefined;

interface TreeNode<K, V> {
  readonly key: K;
  readonly value: V;
  readonly left: Tree<K, V>;
  readonly right: Tree<K, V>;
  readonly height: number;
  readonly size: number;
}

type Key = string | number;

/** The number of entries. O(1). */
export function countEntries<K, V>(tree: Tree<K, V>): number {
  return tree?.size ?? 0;
}

/** The value stored under a key. O(log n). */
export function getEntry<K extends Key, V>(tree: Tree<K, V>, key: K): V | undefined {
  let node = tree;
  while (node !== undefined && node.key !== key) node = key < node.key ? node.left : node.right;
  return node?.value;
}

/** Returns a tree with a key set to a value. O(log n). */
export function putEntry<K extends Key, V>(tree: Tree<K, V>, key: K, value: V): TreeNode<K, V> {
  if (tree === undefined) return createNode(key, value, undefined, undefined);
  if (key === tree.key) return createNode(key, value, tree.left, tree.right);
  return key < tree.key
    ? balance(tree.key, tree.value, putEntry(tree.left, key, value), tree.right)
    : balance(tree.key, tree.value, tree.left, putEntry(tree.right, key, value));
}

/** Returns a tree without a key. O(log n). */
export function removeEntry<K extends Key, V>(tree: Tree<K, V>, key: K): Tree<K, V> {
  if (tree === undefined) return undefined;
  const { left, right } = tree;
  if (key < tree.key) return balance(tree.key, tree.value, removeEntry(left, key), right);
  if (key > tree.key) return balance(tree.key, tree.value, left, removeEntry(right, key));
  if (left === undefined || right === undefined) return left ?? right;
  const next = findExtreme(right, "left");
  return balance(next.key, next.value, left, removeEntry(right, next.key));
}

/** The entry with the lowest key. O(log n). */
export function findFirstEntry<K, V>(tree: Tree<K, V>): TreeNode<K, V> | undefined {
  return tree === undefined ? undefined : findExtreme(tree, "left");
}

/** The entry with the highest key. O(log n). */
export function findLastEntry<K, V>(tree: Tree<K, V>): TreeNode<K, V> | undefined {
  return tree === undefined ? undefined : findExtreme(tree, "right");
}

/** The entry with the lowest key that is not below the given one. O(log n). */
export function findFirstFrom<K extends Key, V>(
  tree: Tree<K, V>,
  key: K,
): TreeNode<K, V> | undefined {
  let found: TreeNode<K, V> | undefined;
  for (let node = tree; node !== undefined;) {
    if (node.key < key) {
      node = node.right;
    } else {
      found = node;
      node = node.left;
    }
  }
  return found;
}

/** The number of entries with keys below the given one. O(log n). */
export function countBefore<K extends Key, V>(tree: Tree<K, V>, key: K): number {
  let count = 0;
  for (let node = tree; node !== undefined;) {
    if (node.key < key) {
      count += 1 + (node.left?.size ?? 0);
      node = node.right;
    } else {
      node = node.left;
    }
  }
  return count;
}

/** The values in ascending order of their keys. */
export function* listValues<K, V>(tree: Tree<K, V>): Generator<V> {
  const stack: TreeNode<K, V>[] = [];
  for (let node = tree; node !== undefined || stack.length > 0;) {
    for (; node !== undefined; node = node.left) stack.push(node);
    const least = stack.pop();
    if (least === undefined) return;
    yield least.value;
    node = least.right;
  }
}

function findExtreme<K, V>(tree: TreeNode<K, V>, side: "left" | "right"): TreeNode<K, V> {
  let node = tree;
  for (let next = node[side]; next !== undefined; next = node[side]) node = next;
  return node;
}

function createNode<K, V>(key: K, value: V, left: Tree<K, V>, right: Tree<K, V>): TreeNode<K, V> {
  const height = 1 + Math.max(left?.height ?? 0, right?.height ?? 0);
  const size = 1 + (left?.size ?? 0) + (right?.size ?? 0);
  return { key, value, left, right, height, size };
}

/**
 * Creates a node and rotates it if needed. The heights of its subtrees may differ by two at most.
 */
function balance<K, V>(key: K, value: V, left: Tree<K, V>, right: Tree<K, V>): TreeNode<K, V> {
  const imbalance = (left?.height ?? 0) - (right?.height ?? 0);
  if (imbalance > 1 && left !== undefined) {
    const isOuterTaller = (left.left?.height ?? 0) >= (left.right?.height ?? 0);
    const newRoot = isOuterTaller ? left : rotateLeft(left);
    return createNode(
      newRoot.key,
      newRoot.value,
      newRoot.left,
      createNode(key, value, newRoot.right, right),
    );
  }
  if (imbalance < -1 && right !== undefined) {
    const isOuterTaller = (right.right?.height ?? 0) >= (right.left?.height ?? 0);
    const newRoot = isOuterTaller ? right : rotateRight(right);
    return createNode(
      newRoot.key,
      newRoot.value,
      createNode(key, value, left, newRoot.left),
      newRoot.right,
    );
  }
  return createNode(key, value, left, right);
}

function rotateLeft<K, V>(node: TreeNode<K, V>): TreeNode<K, V> {
  const newRoot = node.right;
  if (newRoot === undefined) return node;
  const lower = createNode(node.key, node.value, node.left, newRoot.left);
  return createNode(newRoot.key, newRoot.value, lower, newRoot.right);
}

function rotateRight<K, V>(node: TreeNode<K, V>): TreeNode<K, V> {
  const newRoot = node.left;
  if (newRoot === undefined) return node;
  const lower = createNode(node.key, node.value, newRoot.right, node.right);
  return createNode(newRoot.key, newRoot.value, newRoot.left, lower);
}
