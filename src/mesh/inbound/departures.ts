/**
Backend servers of one host that leave or have left. They must not be used again, however late an announcement of theirs arrives.

A start is identified by the id and the start time that the backend server itself states, so no clocks are compared: one that starts again, under whatever id, has another start time.
*/
import {isDeepStrictEqual} from 'node:util';
import * as z from 'zod/mini';
import type {Announcement} from './announcement.js';

const departureSchema = z.union([
  z.object({kind: z.literal('start'), instance: z.string(), startedAt: z.number()}),
  /** Deregistered by its id before this process knew it: all its starts up to `leftAt`, in milliseconds since the Unix epoch by the clock of its host. */
  z.object({kind: z.literal('instance'), instance: z.string(), leftAt: z.number()}),
]);

/** Start of a backend server that leaves or has left. */
export type Departure = z.infer<typeof departureSchema>;

/** Departures of one host, the newest ones last. */
export type Departures = {
  /** Adds a departure; returns whether it was new. */
  add: (departure: Departure) => boolean;
  /** Adds earlier departures. */
  restore: (earlier: readonly Departure[]) => void;
  /** Departure of the backend server that an announcement comes from. */
  match: (announcement: Pick<Announcement, 'instance' | 'startedAt'>) => Departure | undefined;
  all: () => Departure[];
};

/** Departures that are kept, until later ones take their place; announcements are late by seconds, in which a host has few backend servers. Each process that starts reads those of all hosts. */
const DEPARTURES_MAX = 2;

/** Combines departures that were known before with later ones. */
export const mergeDepartures = (earlier: readonly Departure[], later: readonly Departure[]): Departure[] => {
  const missing = earlier.filter(departure => !later.some(known => isDeepStrictEqual(known, departure)));
  return [...missing, ...later].slice(-DEPARTURES_MAX);
};

/** Creates an empty list. */
export const createDepartures = (): Departures => {
  let departures: Departure[] = [];
  return {
    add(departure) {
      const isNew = !departures.some(known => isDeepStrictEqual(known, departure));
      departures = isNew ? mergeDepartures(departures, [departure]) : departures;
      return isNew;
    },
    restore(earlier) {
      departures = mergeDepartures(earlier, departures);
    },
    match: ({instance, startedAt}) => departures.find(departure =>
      departure.instance === instance && (departure.kind === 'start' ? departure.startedAt === startedAt : startedAt <= departure.leftAt)),
    all: () => departures,
  };
};

const entrySchema = z.object({departures: z.array(departureSchema)});

/** Reads the departures in the value of a member object; none when it has none that can be read. */
export const decodeDepartures = (value: unknown): Departure[] => {
  const parsed = entrySchema.safeParse(value);
  return parsed.success ? parsed.data.departures : [];
};
