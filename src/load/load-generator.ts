/** Open-loop load generator: requests start at their scheduled time, regardless of earlier responses. */
import {setTimeout as delay} from 'node:timers/promises';
import {createRandom} from '../shared/random.js';
import {createDevice, type Device} from './device.js';
import {runRequest} from './request.js';
import {buildResult, type LoadResult, type RequestRecord} from './results.js';
import {createSchedule} from './schedule.js';
import {loadSettingsSchema, type LoadSettingsInput} from './settings.js';

/** Handle on a load generator. */
export type LoadGenerator = {
  /** Runs the whole schedule and resolves when all requests have ended. */
  run: () => Promise<LoadResult>;
  /** Number of requests started, finished and completed so far, and in total. */
  progress: () => {started: number; finished: number; completed: number; total: number};
};

const POLL_INTERVAL_MS = 2;

/** Removes and returns the items that are due; the list is ordered by time. */
const takeDue = <Item extends {atMs: number}>(items: Item[], elapsedMs: number): Item[] => {
  const count = items.findIndex(item => item.atMs > elapsedMs);
  return items.splice(0, count === -1 ? items.length : count);
};

/** Creates a load generator; it sends nothing before `run`. */
export const createLoadGenerator = (options: LoadSettingsInput): LoadGenerator => {
  const settings = loadSettingsSchema.parse(options);
  const random = createRandom(settings.seed);
  const schedule = createSchedule(settings, random);
  const total = schedule.arrivals.length;
  const devices: Device[] = Array.from({length: settings.devices}, (_, index) => createDevice({
    index, respectsRetryAfter: random() < settings.client.retryAfterShare, connections: settings.client.connectionsPerDevice,
  }));
  const records: RequestRecord[] = [];
  const startedRequests: Array<Promise<void>> = [];

  const maybeReconnectDevice = () => {
    if (random() < settings.client.reconnectsPerSecond * POLL_INTERVAL_MS / 1000) {
      devices[Math.floor(random() * devices.length)]!.reconnect();
    }
  };

  const runSchedule = async (startedAt: number) => {
    const arrivals = [...schedule.arrivals];
    const restarts = [...schedule.restarts];
    while (arrivals.length > 0 || restarts.length > 0) {
      const elapsedMs = performance.now() - startedAt;
      for (const {deviceIndex} of takeDue(restarts, elapsedMs)) {
        devices[deviceIndex]!.restart();
      }

      for (const arrival of takeDue(arrivals, elapsedMs)) {
        const device = devices[arrival.deviceIndex]!;
        startedRequests.push((async () => {
          records.push(await runRequest(arrival, {
            settings, device, random, startedAt,
          }));
        })());
      }

      maybeReconnectDevice();
      await delay(POLL_INTERVAL_MS); // eslint-disable-line no-await-in-loop
    }
  };

  return {
    async run() {
      await delay(Math.max(0, (settings.startAt ?? 0) - Date.now()));
      const startedAt = performance.now();
      await runSchedule(startedAt);
      await Promise.all(startedRequests);
      await Promise.all(devices.map(async device => device.close()));
      return buildResult(performance.timeOrigin + startedAt, records);
    },
    progress: () => ({
      started: startedRequests.length, finished: records.length, completed: records.filter(({completed}) => completed).length, total,
    }),
  };
};
