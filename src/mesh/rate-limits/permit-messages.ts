/** Messages by which permits are asked for and granted. */
import type {Message, PermitGrant} from '../message.js';

/** Poll of a coordinator. */
export type PermitsWanted = Extract<Message, {type: 'permits-wanted'}>;
/** Answer to a poll. */
export type Permits = Extract<Message, {type: 'permits'}>;

/** What an answer grants to each workspace; it may have several grants for one, with different lifetimes and the same `retryAfterMs`. */
export const grantsByWorkspace = (grants: readonly PermitGrant[]): Map<string, Pick<PermitGrant, 'permits' | 'retryAfterMs'>> => {
  const byWorkspace = new Map<string, Pick<PermitGrant, 'permits' | 'retryAfterMs'>>();
  for (const {workspace, permits, retryAfterMs} of grants) {
    byWorkspace.set(workspace, {permits: permits + (byWorkspace.get(workspace)?.permits ?? 0), retryAfterMs});
  }

  return byWorkspace;
};
