/**
Messages by which permits are asked for and granted.

They are checked before they are used: they come from other processes, which may be of another version, and a figure that is not a number would stay in buckets and averages.
*/
import {isAmount, isShare} from '../amount.js';
import type {Message, PermitGrant} from '../message.js';

/** Poll of a coordinator. */
export type PermitsWanted = Extract<Message, {type: 'permits-wanted'}>;
/** Answer to a poll. */
export type Permits = Extract<Message, {type: 'permits'}>;

const isPermitCount = (value: unknown): boolean => isAmount(value) && Number.isSafeInteger(value);

const isListOf = <Item extends {workspace: string}>(list: readonly Item[] | undefined, isWellFormed: (item: Item) => boolean): boolean =>
  Array.isArray(list) && list.every((item: Item | undefined) => typeof item?.workspace === 'string' && isWellFormed(item));

const isLoan = (loan: PermitsWanted['loan']): boolean =>
  (loan ?? undefined) === undefined || (isShare(loan?.fraction) && (loan.echoedClock === undefined || Number.isFinite(loan.echoedClock)));

/** Whether a poll can be answered. */
export const isWellFormedPoll = ({exchange, loan, asks}: PermitsWanted): boolean =>
  isAmount(exchange) && isLoan(loan) && isListOf(asks, ({wanted, returned}) => isPermitCount(wanted) && isPermitCount(returned));

/** Whether the answer to a poll can be used. */
export const isWellFormedAnswer = ({exchange, clock, grants}: Permits): boolean =>
  isAmount(exchange) && Number.isFinite(clock)
  && isListOf(grants, ({permits, lifetimeMs, retryAfterMs}) => isPermitCount(permits) && isAmount(lifetimeMs) && isAmount(retryAfterMs));

/** What an answer grants to each workspace; it may have several grants for one, with different lifetimes and the same `retryAfterMs`. */
export const grantsByWorkspace = (grants: readonly PermitGrant[]): Map<string, Pick<PermitGrant, 'permits' | 'retryAfterMs'>> => {
  const byWorkspace = new Map<string, Pick<PermitGrant, 'permits' | 'retryAfterMs'>>();
  for (const {workspace, permits, retryAfterMs} of grants) {
    byWorkspace.set(workspace, {permits: permits + (byWorkspace.get(workspace)?.permits ?? 0), retryAfterMs});
  }

  return byWorkspace;
};
