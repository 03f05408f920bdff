/** Authenticated envelopes for messages between processes, with protection against replay and wrong recipients. */
import {Buffer} from 'node:buffer';
import {createHmac, timingSafeEqual} from 'node:crypto';
import {z} from 'zod';
import {messageSchema, type Message} from '../../decisions/fleet/fleet.js';
import {fail, ok, type Result} from '../../shared/result.js';
import {
  CLOCK_SKEW_MAX_MS, MESSAGE_LENGTH_MAX, REPLAY_WINDOW, TRACKED_SENDERS_MAX,
} from './constants.js';

/** Schema of an envelope. The message authentication code `mac` covers all other fields. */
export const envelopeSchema = z.strictObject({
  host: z.string().min(1).max(128),
  incarnation: z.string().min(1).max(128),
  /** Address of the recipient. */
  to: z.string().max(128),
  /** Increases with each message that an incarnation of the sender seals. */
  sequence: z.number().int().min(1),
  /** Time in milliseconds since the Unix epoch, by the sender's clock. */
  sentAt: z.number(),
  /** JSON text of the message. */
  content: z.string(),
  mac: z.string().max(64),
});

/** Message with its sender, recipient, sequence number, send time and message authentication code. */
export type Envelope = z.infer<typeof envelopeSchema>;

/** Reason why an envelope was rejected. */
export type EnvelopeError = {
  kind: 'forged' | 'wrong-recipient' | 'old' | 'replayed' | 'too-large' | 'malformed' | 'sender-mismatch';
  message: string;
};

/** Creates and verifies the envelopes of one process. */
export type EnvelopeCodec = {
  /** Puts a message into a signed envelope for a recipient. */
  seal: (to: string, message: Message) => Envelope;
  /** Verifies an envelope and returns its message. */
  open: (envelope: Envelope) => Result<Message, EnvelopeError>;
};

/** Options of an envelope codec. */
export type EnvelopeCodecOptions = {
  host: string;
  incarnation: string;
  /** Address of this process, `ip:port`. */
  address: string;
  /** Fleet key, shared by all processes. */
  fleetKey: string;
  /** Time in milliseconds since the Unix epoch. */
  wallClock: () => number;
};

type ReplayRecord = {highestSequence: number; seenSequences: Set<number>};

const computeMac = (envelope: Omit<Envelope, 'mac'>, key: string): string => {
  const {host, incarnation, to, sequence, sentAt, content} = envelope;
  return createHmac('sha256', key).update(JSON.stringify(['fleet', host, incarnation, to, sequence, sentAt, content])).digest('base64url');
};

const isSameMac = (left: string, right: string): boolean =>
  left.length === right.length && timingSafeEqual(Buffer.from(left), Buffer.from(right));

const reject = (kind: EnvelopeError['kind'], message: string) => fail({kind, message});

const parseMessage = (content: string): Message | undefined => {
  try {
    return messageSchema.safeParse(JSON.parse(content)).data;
  } catch {
    return undefined;
  }
};

const isNewSequence = (record: ReplayRecord, sequence: number): boolean =>
  sequence > record.highestSequence - REPLAY_WINDOW && !record.seenSequences.has(sequence);

const recordSequence = (record: ReplayRecord, sequence: number): void => {
  record.highestSequence = Math.max(record.highestSequence, sequence);
  record.seenSequences.add(sequence);
  if (record.seenSequences.size > REPLAY_WINDOW * 2) {
    record.seenSequences = new Set([...record.seenSequences].filter(seen => seen > record.highestSequence - REPLAY_WINDOW));
  }
};

/** Creates the envelope codec of a process. */
export const createEnvelopeCodec = (options: EnvelopeCodecOptions): EnvelopeCodec => {
  const {host, incarnation, address, fleetKey, wallClock} = options;
  const replayRecords = new Map<string, ReplayRecord>();
  let lastSequence = 0;

  const replayRecordOf = (sender: string): ReplayRecord => {
    const record = replayRecords.get(sender) ?? {highestSequence: 0, seenSequences: new Set<number>()};
    // A Map iterates in insertion order, so the first sender is the least recently used one.
    replayRecords.delete(sender);
    replayRecords.set(sender, record);
    if (replayRecords.size > TRACKED_SENDERS_MAX) {
      replayRecords.delete(replayRecords.keys().next().value!);
    }

    return record;
  };

  const verify = (envelope: Envelope): Result<undefined, EnvelopeError> => {
    if (!isSameMac(envelope.mac, computeMac(envelope, fleetKey))) {
      return reject('forged', 'the message was altered or sent with another fleet key; use the same key on all hosts');
    }

    if (envelope.to !== address) {
      return reject('wrong-recipient', `the message is for ${envelope.to}, not ${address}; use the peer address of the settings as contact`);
    }

    if (Math.abs(wallClock() - envelope.sentAt) > CLOCK_SKEW_MAX_MS) {
      return reject('old', 'the message is too old or from the future; synchronise the clocks of both hosts');
    }

    const record = replayRecordOf(`${envelope.host}/${envelope.incarnation}`);
    if (!isNewSequence(record, envelope.sequence)) {
      return reject('replayed', 'the message was received before; send each message once');
    }

    recordSequence(record, envelope.sequence);
    return ok(undefined);
  };

  return {
    seal(to, message) {
      const envelope = {
        host, incarnation, to, sequence: ++lastSequence, sentAt: wallClock(), content: JSON.stringify(message),
      };
      return {...envelope, mac: computeMac(envelope, fleetKey)};
    },
    open(envelope) {
      const verified = verify(envelope);
      if (verified.kind === 'error') {
        return verified;
      }

      const message = parseMessage(envelope.content);
      if (message === undefined) {
        return reject('malformed', 'the message does not match the schema; run the same release on all hosts');
      }

      if (message.from.host !== envelope.host || message.from.incarnation !== envelope.incarnation) {
        return reject('sender-mismatch', 'the message names another sender than its envelope; run the same release on all hosts');
      }

      const carriesConfiguration = message.body.kind === 'configuration-full' || message.body.kind === 'configuration-change';
      return carriesConfiguration || envelope.content.length <= MESSAGE_LENGTH_MAX
        ? ok(message)
        : reject('too-large', `messages without a configuration have at most ${MESSAGE_LENGTH_MAX} characters; run the same release on all hosts`);
    },
  };
};
