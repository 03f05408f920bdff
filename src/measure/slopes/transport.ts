/** Measures the cost of one message exchange between two processes, with both ends in this process over loopback. */
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {REPLAY_WINDOW} from '../../daemon/fleet/constants.js';
import {createFleetRequestHandler, createEnvelopeSender} from '../../daemon/fleet/transport.js';
import {createEnvelopeCodec} from '../../daemon/fleet/envelope.js';
import type {MemberRecord, Message} from '../../decisions/fleet/fleet.js';
import {ok} from '../../shared/result.js';
import {createMemberRecords} from './generators.js';
import {median} from './line-fit.js';
import {
  measureRetainedBytes, measureSeriesAsync, processorMicroseconds, REPETITIONS, createSeries,
} from './benchmark.js';
import type {Series} from './series.js';

const EXCHANGES_PER_RUN = 80;
const TIMEOUT_MS = 5000;
/** Numbers of member records in the measured messages. */
const RECORD_COUNTS = [0, 8, 64, 160];
const NANOSECONDS_PER_MICROSECOND = 1000;

const createCodec = (host: string) => createEnvelopeCodec({
  host, incarnation: `${host}-1`, address: host, fleetKey: 'fleet-key', wallClock: Date.now,
});

const createMessage = (host: string, records: MemberRecord[]): Message => ({
  from: {
    host, zone: 'zone-0', address: host, incarnation: `${host}-1`, generation: 1_700_000_000_000, version: 2, sequence: 33_000, hash: 'a'.repeat(43), digest: 4_000_000_000,
  },
  body: {kind: 'records', records},
});

type ExchangeCost = {contentBytes: number; nanoseconds: number; wireBytes: number};

/** Creates both ends of an exchange: the receiver replies to each message with one without records. */
const createExchangeEnds = () => {
  const receiver = createCodec('receiver');
  const caller = createCodec('caller');
  const sockets = new Set<Socket>();
  const handler = createFleetRequestHandler(envelope => {
    const opened = receiver.open(envelope);
    return opened.kind === 'ok' ? ok(receiver.seal('caller', createMessage('receiver', []))) : opened;
  }, reason => {
    throw new Error(`the measured message was rejected as ${reason}`);
  });
  const server: Server = createServer((request, response) => {
    handler(request, response);
  });
  server.on('connection', socket => sockets.add(socket));
  const transferredBytes = (): number => {
    let total = 0;
    for (const {bytesRead, bytesWritten} of sockets) {
      total += bytesRead + bytesWritten;
    }

    return total;
  };

  return {
    server, caller, bytes: transferredBytes,
  };
};

const measureExchange = async (ends: ReturnType<typeof createExchangeEnds>, address: string, records: MemberRecord[]): Promise<ExchangeCost> => {
  const sender = createEnvelopeSender();
  const message = createMessage('caller', records);
  const runs: number[] = [];
  const bytesBefore = ends.bytes();
  /* eslint-disable no-await-in-loop */
  for (let run = 0; run <= REPETITIONS; run++) {
    const before = processorMicroseconds();
    for (let exchange = 0; exchange < EXCHANGES_PER_RUN; exchange++) {
      const reply = await sender.deliver(address, ends.caller.seal('receiver', message), TIMEOUT_MS);
      if (reply === undefined || ends.caller.open(reply).kind === 'error') {
        throw new Error('the measured exchange returned no valid reply');
      }
    }

    runs.push((processorMicroseconds() - before) * NANOSECONDS_PER_MICROSECOND / EXCHANGES_PER_RUN);
  }
  /* eslint-enable no-await-in-loop */

  await sender.close();
  return {
    contentBytes: JSON.stringify(message).length,
    nanoseconds: median(runs.slice(1)),
    wireBytes: (ends.bytes() - bytesBefore) / (EXCHANGES_PER_RUN * (REPETITIONS + 1)),
  };
};

/** Creates a codec whose replay window is full for each sender: it has received more messages than it keeps records of. */
const fillReplayRecords = (senders: number) => {
  const receiver = createCodec('receiver');
  for (let index = 0; index < senders; index++) {
    const sender = createCodec(`sender-${index}`);
    for (let message = 0; message < REPLAY_WINDOW * 2; message++) {
      receiver.open(sender.seal('receiver', createMessage(`sender-${index}`, [])));
    }
  }

  return receiver;
};

/** Measures all series of the exchange by message size, and the memory of replay records. */
export const measureTransport = async (): Promise<Series[]> => {
  const ends = createExchangeEnds();
  ends.server.listen(0, '127.0.0.1');
  await once(ends.server, 'listening');
  const address = `127.0.0.1:${(ends.server.address() as AddressInfo).port}`;
  // Warm-up; otherwise the first size would include JIT compilation.
  await measureExchange(ends, address, []);
  const exchanges: ExchangeCost[] = [];
  for (const count of RECORD_COUNTS) {
    exchanges.push(await measureExchange(ends, address, createMemberRecords(count, 'zone-0'))); // eslint-disable-line no-await-in-loop
  }

  ends.server.closeAllConnections();
  ends.server.close();
  return [
    createSeries('exchange-processor', 'ns', 'byte of content', exchanges.map(({contentBytes, nanoseconds}) => ({size: contentBytes, value: nanoseconds}))),
    createSeries('exchange-wire', 'B', 'byte of content', exchanges.map(({contentBytes, wireBytes}) => ({size: contentBytes, value: wireBytes}))),
    await measureSeriesAsync({name: 'heap-replay-records', unit: 'B', per: 'sender'}, [4, 8, 16], async size => measureRetainedBytes(() => fillReplayRecords(size))),
  ];
};
