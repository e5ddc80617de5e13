export { compareIncarnations, openIncarnation, refuteIncarnation } from "./incarnation.js";
export { collectNews, listAllNews, listNewsAbout, markSent } from "./news.js";
export { membershipOptions, type MembershipOptions } from "./options.js";
export { buildRing } from "./ring.js";
export {
  createMembershipState,
  type Member,
  type MembershipEffect,
  type MembershipEvent,
  type MembershipState,
  type MemberStatus,
} from "./state.js";
export { applyMembershipEvent } from "./step.js";
export { findHelpers, listLive, listViews, type MemberView } from "./view.js";
