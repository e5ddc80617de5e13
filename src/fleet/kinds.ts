/** The store's kind and name of the configuration in force. */
export const configurationKind = "configuration";
/** The one object of that kind. */
export const configurationName = "current";
/** The store's kind of the revisions before it, which three-way merges start from. */
export const historyKind = "configurationHistory";
