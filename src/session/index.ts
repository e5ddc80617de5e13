export {
  type SessionToken,
  type TokenKey,
  type TokenCheck,
  signToken,
  verifyToken,
} from "./token.js";
export {
  type PreparedStatement,
  type Session,
  type SessionLimits,
  defaultSessionLimits,
  type SessionStep,
  type SessionEffect,
  type SessionFailure,
  createSession,
  applyStep,
  getTokenContent,
} from "./session.js";
