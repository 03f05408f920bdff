/** Envelopes: messages with sender, recipient, sequence number and time under a message authentication code. */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';
import {messageSchema, type Message} from '../../decisions/fleet/fleet.js';
import {fail, ok, type Result} from '../../shared/result.js';
import {
  CLOCK_DIFFERENCE_MAX_MS, MESSAGE_LENGTH_MAX, REPLAY_WINDOW, SENDERS_MAX,
} from './constants.js';

/** Schema of an envelope. */
export const envelopeSchema = z.strictObject({
  host: z.string().min(1).max(128),
  incarnation: z.string().min(1).max(128),
  /** Address that the message is for. */
  to: z.string().max(128),
  /** Grows with each message of the sender's incarnation. */
  sequence: z.number().int().min(1),
  /** Time in milliseconds since the Unix epoch, by the sender's clock. */
  sentAt: z.number(),
  /** Message as JSON. */
  content: z.string(),
  mac: z.string().max(64),
});

/** Message with sender, recipient, sequence number, time and message authentication code. */
export type Envelope = z.infer<typeof envelopeSchema>;

/** Why an envelope was not accepted. */
export type EnvelopeFault = {
  kind: 'forged' | 'wrong-recipient' | 'old' | 'replayed' | 'too-large' | 'malformed' | 'sender-mismatch';
  message: string;
};

/** Reads and writes the envelopes of one process. */
export type EnvelopeCodec = {
  seal: (to: string, message: Message) => Envelope;
  open: (envelope: Envelope) => Result<Message, EnvelopeFault>;
};

/** Options of an envelope codec. */
export type EnvelopeCodecOptions = {
  host: string;
  incarnation: string;
  /** Address of this process, `ip:port`. */
  address: string;
  /** Fleet key. */
  key: string;
  /** Time in milliseconds since the Unix epoch. */
  wallClock: () => number;
};

type ReplayRecord = {highest: number; seen: Set<number>};

const sign = (envelope: Omit<Envelope, 'mac'>, key: string): string => {
  const {host, incarnation, to, sequence, sentAt, content} = envelope;
  return createHmac('sha256', key).update(JSON.stringify(['fleet', host, incarnation, to, sequence, sentAt, content])).digest('base64url');
};

const sameMac = (left: string, right: string): boolean =>
  left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right));

const fault = (kind: EnvelopeFault['kind'], message: string) => fail({kind, message});

const parseMessage = (content: string): Message | undefined => {
  try {
    return messageSchema.safeParse(JSON.parse(content)).data;
  } catch {
    return undefined;
  }
};

const isFresh = (record: ReplayRecord, sequence: number): boolean =>
  sequence > record.highest - REPLAY_WINDOW && !record.seen.has(sequence);

const remember = (record: ReplayRecord, sequence: number): void => {
  record.highest = Math.max(record.highest, sequence);
  record.seen.add(sequence);
  if (record.seen.size > REPLAY_WINDOW * 2) {
    record.seen = new Set([...record.seen].filter(seen => seen > record.highest - REPLAY_WINDOW));
  }
};

/** Creates the envelope codec of a process. */
export const createEnvelopeCodec = (options: EnvelopeCodecOptions): EnvelopeCodec => {
  const {host, incarnation, address, key, wallClock} = options;
  const records = new Map<string, ReplayRecord>();
  let lastSequence = 0;

  const recordOf = (sender: string): ReplayRecord => {
    const record = records.get(sender) ?? {highest: 0, seen: new Set<number>()};
    // Insertion order is the order of last use; the sender unused for longest is forgotten first.
    records.delete(sender);
    records.set(sender, record);
    if (records.size > SENDERS_MAX) {
      records.delete(records.keys().next().value!);
    }

    return record;
  };

  const check = (envelope: Envelope): Result<undefined, EnvelopeFault> => {
    if (!sameMac(envelope.mac, sign(envelope, key))) {
      return fault('forged', 'the message was altered or sent with another fleet key; use the same key on all hosts');
    }

    if (envelope.to !== address) {
      return fault('wrong-recipient', `the message is for ${envelope.to}, not ${address}; use the peer address of the settings as contact`);
    }

    if (Math.abs(wallClock() - envelope.sentAt) > CLOCK_DIFFERENCE_MAX_MS) {
      return fault('old', 'the message is too old or from the future; synchronise the clocks of both hosts');
    }

    const record = recordOf(`${envelope.host}/${envelope.incarnation}`);
    if (!isFresh(record, envelope.sequence)) {
      return fault('replayed', 'the message was received before; send each message once');
    }

    remember(record, envelope.sequence);
    return ok(undefined);
  };

  return {
    seal(to, message) {
      const envelope = {
        host, incarnation, to, sequence: ++lastSequence, sentAt: wallClock(), content: JSON.stringify(message),
      };
      return {...envelope, mac: sign(envelope, key)};
    },
    open(envelope) {
      const checked = check(envelope);
      if (checked.kind === 'error') {
        return checked;
      }

      const message = parseMessage(envelope.content);
      if (message === undefined) {
        return fault('malformed', 'the message does not match the schema; run the same release on all hosts');
      }

      if (message.from.host !== envelope.host || message.from.incarnation !== envelope.incarnation) {
        return fault('sender-mismatch', 'the message names another sender than its envelope; run the same release on all hosts');
      }

      const mayBeLarge = message.body.kind === 'configuration-full' || message.body.kind === 'configuration-change';
      return mayBeLarge || envelope.content.length <= MESSAGE_LENGTH_MAX
        ? ok(message)
        : fault('too-large', `messages without a configuration have at most ${MESSAGE_LENGTH_MAX} characters; run the same release on all hosts`);
    },
  };
};
