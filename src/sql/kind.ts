import {
  getChild,
  getList,
  getText,
  isNode,
  type ParsedStatement,
  type TreeNode,
} from "./parser.js";
import { settingPrefix, type StatementKind } from "./statement.js";

const plain: StatementKind = { type: "plain" };
const cursorWithHold = 0x20;

/** Classifies a statement by what it means for the session that sends it. */
export function classifyKind(statement: ParsedStatement): StatementKind {
  const { nodeType, node } = statement;
  switch (nodeType) {
    case "TransactionStmt":
      return classifyTransaction(node);
    case "VariableSetStmt":
      return classifySetting(node);
    case "DiscardStmt":
      return classifyDiscard(node);
    case "DeallocateStmt":
      return node.isall === true
        ? { type: "discard", tag: "DEALLOCATE ALL", scope: "plans" }
        : { type: "sessionState", feature: "DEALLOCATE" };
    case "PrepareStmt":
      return { type: "sessionState", feature: "PREPARE" };
    case "ExecuteStmt":
      return { type: "sessionState", feature: "EXECUTE" };
    case "ListenStmt":
    case "UnlistenStmt":
      return { type: "sessionState", feature: "LISTEN" };
    case "LoadStmt":
      return { type: "sessionState", feature: "LOAD" };
    case "CopyStmt":
      return isCopyIn(node) ? { type: "copyIn" } : plain;
    case "DeclareCursorStmt":
      return (Number(node.options ?? 0) & cursorWithHold) === 0
        ? plain
        : { type: "sessionState", feature: "DECLARE … WITH HOLD" };
    case "CreateStmt":
      return classifyCreate(getChild(node, "relation"));
    case "CreateTableAsStmt":
      return classifyCreate(getChild(getChild(node, "into") ?? {}, "rel"));
    default:
      return plain;
  }
}

function classifyTransaction(node: TreeNode): StatementKind {
  const kind = getText(node, "kind") ?? "";
  switch (kind) {
    case "TRANS_STMT_BEGIN":
    case "TRANS_STMT_START":
      return { type: "begin", isReadOnly: isReadOnly(node) };
    case "TRANS_STMT_COMMIT":
      return { type: "end", isCommit: true, isChained: node.chain === true };
    case "TRANS_STMT_ROLLBACK":
      return { type: "end", isCommit: false, isChained: node.chain === true };
    case "TRANS_STMT_PREPARE":
      return { type: "end", isCommit: true, isChained: false };
    default:
      return plain;
  }
}

function isReadOnly(node: TreeNode): boolean {
  return getList(node, "options").some((option) => {
    const element = isNode(option) ? getChild(option, "DefElem") : undefined;
    if (element === undefined || getText(element, "defname") !== "transaction_read_only")
      return false;
    const value = getChild(getChild(getChild(element, "arg") ?? {}, "A_Const") ?? {}, "ival");
    return value?.ival === 1;
  });
}

function classifySetting(node: TreeNode): StatementKind {
  const name = getText(node, "name") ?? "";
  if (getText(node, "kind") === "VAR_RESET_ALL")
    return { type: "sessionState", feature: "RESET ALL" };
  if (name.startsWith(settingPrefix)) {
    const value = readSettingValue(node);
    const settingName = name.slice(settingPrefix.length);
    return value === undefined
      ? { type: "setting", name: settingName }
      : { type: "setting", name: settingName, value };
  }
  const isLocal =
    node.is_local === true || name === "TRANSACTION" || name === "TRANSACTION SNAPSHOT";
  return isLocal ? plain : { type: "sessionState", feature: `SET ${name}` };
}

function readSettingValue(node: TreeNode): string | undefined {
  const [first] = getList(node, "args");
  const constant = isNode(first) ? getChild(first, "A_Const") : undefined;
  if (constant === undefined) return undefined;
  const text = getChild(constant, "sval");
  if (text !== undefined) return getText(text, "sval") ?? "";
  const number = getChild(constant, "ival");
  if (number === undefined) return undefined;
  // The parser omits the value of a zero.
  return typeof number.ival === "number" ? String(number.ival) : "0";
}

function classifyDiscard(node: TreeNode): StatementKind {
  const target = getText(node, "target") ?? "";
  switch (target) {
    case "DISCARD_ALL":
      return { type: "discard", tag: "DISCARD ALL", scope: "all" };
    case "DISCARD_PLANS":
      return { type: "discard", tag: "DISCARD PLANS", scope: "plans" };
    default:
      return { type: "sessionState", feature: "DISCARD" };
  }
}

function classifyCreate(relation: TreeNode | undefined): StatementKind {
  const isTemporary = relation !== undefined && getText(relation, "relpersistence") === "t";
  return isTemporary ? { type: "sessionState", feature: "a temporary table" } : plain;
}

function isCopyIn(node: TreeNode): boolean {
  return node.is_from === true && getText(node, "filename") === undefined;
}
