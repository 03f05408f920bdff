/** Checks messages about permits before they are used: they come from other processes, which may be of another version, and a figure that is not a number would stay in buckets and averages. */
import {isAmount, isShare} from '../amount.js';
import type {Message} from '../message.js';

type PermitsWanted = Extract<Message, {type: 'permits-wanted'}>;
type Permits = Extract<Message, {type: 'permits'}>;

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
