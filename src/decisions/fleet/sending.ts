/** Creates messages and selects their recipients. */
import type {Random} from '../../shared/random.js';
import type {MessageBody, MemberRecord, MessageSender} from './message.js';
import type {FleetAction, FleetReport, FleetState} from './state.js';

const createSender = (state: FleetState): MessageSender => ({
  host: state.self.host,
  zone: state.self.zone,
  address: state.self.address,
  incarnation: state.self.incarnation,
  generation: state.self.generation,
  version: state.self.version,
  sequence: state.configuration.current.sequence,
  hash: state.configuration.current.hash,
  digest: state.zones.digest,
});

/** Creates the action that sends a message that is not a reply. */
export const send = (state: FleetState, address: string, body: MessageBody): FleetAction =>
  ({
    kind: 'send', address, message: {from: createSender(state), body}, reply: false,
  });

/** Creates the action that replies to the message being handled. */
export const reply = (state: FleetState, to: MessageSender, body: MessageBody): FleetAction =>
  ({
    kind: 'send', address: to.address, message: {from: createSender(state), body}, reply: true,
  });

/** Creates the action that reports an event. */
export const report = (event: FleetReport): FleetAction => ({kind: 'report', report: event});

/** Whether messages are sent to the member: it is alive or suspected. */
export const isLive = (record: MemberRecord): boolean => record.state === 'alive' || record.state === 'suspect';

/** Draws up to `count` different items at random. */
export const sample = <Item>(items: readonly Item[], count: number, random: Random): Item[] => {
  const rest = [...items];
  return Array.from({length: Math.min(count, rest.length)}, () => rest.splice(Math.floor(random() * rest.length), 1)[0]!);
};

/** Records of the other live members. */
export const liveMembers = (state: FleetState): MemberRecord[] =>
  [...state.membership.members.values()].map(member => member.record).filter(record => isLive(record));

/** Takes items from the front while their JSON fits into `bytes`; always takes the first one. */
export const takeWithinBytes = <Item>(items: readonly Item[], bytes: number): Item[] => {
  let rest = bytes;
  const end = items.findIndex((item, index) => {
    rest -= JSON.stringify(item).length + 1;
    return rest < 0 && index > 0;
  });
  return end === -1 ? [...items] : items.slice(0, end);
};
