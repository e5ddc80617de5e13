export { compareIncarnations, openIncarnation, refuteIncarnation } from "./incarnation.js";
export { collectNews, listAllNews, listNewsAbout, markSent } from "./news.js";
export { defaultMembershipOptions, type MembershipOptions } from "./options.js";
export { buildProbeOrder } from "./probeorder.js";
export {
  createMembershipState,
  type Member,
  type MembershipEffect,
  type MembershipEvent,
  type MembershipState,
  type MemberStatus,
} from "./state.js";
export { applyMembershipEvent } from "./step.js";
export { findProbeHelpers, listLive, listMembers, type MemberView } from "./view.js";
