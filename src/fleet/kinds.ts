/** Kind of the store's object that holds the current configuration. */
export const configurationKind = "configuration";
/** Name of the only object of this kind. */
export const configurationName = "current";
/** Kind of the objects that hold earlier revisions, the bases of three-way merges. */
export const historyKind = "configurationHistory";
