/** Generates synthetic deployments of a given size. */
import type {Endpoint} from '../../decisions/outbound/outbound.js';
import type {Announcement, MemberRecord, SummaryEntry} from '../../decisions/fleet/fleet.js';
import {
  addChanges, emptyConfiguration, hashObjects, sortObjects, type Configuration,
} from '../../objects/configuration.js';
import {declaredObjectSchema, type DeclaredObject} from '../../objects/schema.js';
import type {CallContext} from '../../shared/call-context.js';
import type {Random} from '../../shared/random.js';

/** Request kinds declared per service; the two existing deployments have 7 for 4 services. */
export const REQUEST_KINDS_PER_SERVICE = 2;
/** Services per rule. Rules select services by label, so there are fewer rules than services. */
const SERVICES_PER_RULE = 20;
const PRIORITY_COUNT = 4;
const SLOTS_MIN = 20;
const SLOTS_RANGE = 60;

const range = (count: number): number[] => Array.from({length: count}, (_, index) => index);

/** Name of the synthetic service with an index. */
export const serviceName = (index: number): string => `service-${index}`;

const createService = (index: number, random: Random): unknown => ({
  kind: 'Service',
  name: serviceName(index),
  labels: {team: `team-${Math.floor(random() * 300)}`, tier: `tier-${Math.floor(random() * 5)}`},
  spec: {description: `Made-up service ${index}`},
});

const createRequestKinds = (index: number): unknown[] => range(REQUEST_KINDS_PER_SERVICE).map(kind => ({
  kind: 'RequestKind',
  name: `service-${index}-kind-${kind}`,
  labels: {work: `work-${(index + kind) % PRIORITY_COUNT}`},
  spec: {
    service: serviceName(index), methods: kind === 0 ? ['GET', 'HEAD'] : ['POST'], path: `/items-${kind}*`, idempotent: kind === 0,
  },
}));

const createPriorityRule = (priorities: number): unknown => ({
  kind: 'Rule',
  name: 'priorities',
  spec: {
    type: 'priority',
    priorities: range(priorities).map(index => ({name: `priority-${index}`, select: {requestKinds: {labels: {work: `work-${index}`}}}})),
  },
});

const createRule = (index: number): unknown => {
  const select = {services: {labels: {team: `team-${index}`}}};
  const specs = [
    {type: 'deadline', select, milliseconds: 2000},
    {type: 'retry', select, retryBudget: 3},
    {type: 'limit', select, queueMs: 300},
    {type: 'drain', select: {services: {labels: {team: `team-${index}`}}}, milliseconds: 20_000},
  ];
  return {kind: 'Rule', name: `rule-${index}`, spec: specs[index % specs.length]};
};

/** Generates the declared objects of a deployment: services, their request kinds and rules. */
export const createObjects = (services: number, random: Random): DeclaredObject[] => {
  const objects = [
    ...range(services).flatMap(index => [createService(index, random), ...createRequestKinds(index)]),
    createPriorityRule(PRIORITY_COUNT),
    ...range(Math.floor(services / SERVICES_PER_RULE)).map(index => createRule(index)),
  ];
  return sortObjects(objects.map(object => declaredObjectSchema.parse(object)));
};

/** Creates a configuration whose change log (`changes`) has the given number of entries. */
export const createConfiguration = (objects: readonly DeclaredObject[], sequence: number, changes = 0): Configuration => {
  const keys = range(changes).map(index => `RequestKind/service-${index}-kind-0`);
  return {
    ...emptyConfiguration,
    sequence,
    objects: [...objects],
    hash: hashObjects(objects),
    acceptedAt: 1_700_000_000_000 + sequence,
    author: 'operator@example.org',
    writeId: `write-${sequence}`,
    changes: addChanges(emptyConfiguration, keys, {sequence, author: 'operator@example.org', at: 1_700_000_000_000}),
  };
};

/** Copies objects with the labels of one object changed. */
export const changeOneObject = (objects: readonly DeclaredObject[], revision: number): DeclaredObject[] =>
  objects.map((object, index) => (index === objects.length - 1 ? {...object, labels: {...object.labels, revision: `r${revision}`}} : object));

/** Generates endpoints in one zone, spread evenly over services. */
export const createEndpoints = (count: number, services: number, random: Random): Endpoint[] => range(count).map(index => ({
  host: `host-${index}`,
  zone: 'zone-0',
  incarnation: `incarnation-${index}`,
  service: serviceName(index % services),
  address: `10.${index >> 16}.${(index >> 8) % 256}.${index % 256}:7101`, // eslint-disable-line no-bitwise
  slots: SLOTS_MIN + Math.floor(random() * SLOTS_RANGE),
  connections: 500,
  draining: false,
  coldStartMs: 0,
}));

/** Creates a call to a synthetic service. */
export const createCall = (index: number, fields: Partial<CallContext>, random: Random): CallContext => ({
  requestId: `request-${index}`,
  attemptId: `attempt-${index}`,
  service: serviceName(0),
  requestKind: 'service-0-kind-0',
  rootKind: 'service-0/service-0-kind-0',
  priority: 1,
  group: 'group-0',
  admissionHash: random(),
  fraction: 1,
  retryBudget: 3,
  remainingMs: 2000,
  hops: 1,
  idempotent: true,
  ...fields,
});

const createAnnouncement = (index: number): Announcement => ({
  service: serviceName(index), slots: 40, connections: 500, coldStartMs: 5000, draining: false, labels: {tier: `tier-${index % 5}`, release: 'r1'},
});

/** Generates the records of the members of one zone, each with a backend server of a different service. */
export const createMemberRecords = (count: number, zone: string): MemberRecord[] => range(count).map(index => ({
  host: `host-${zone}-${index}`,
  zone,
  address: `10.1.${Math.floor(index / 256)}.${index % 256}:7101`,
  incarnation: `incarnation-${zone}-${index}`,
  generation: 1_700_000_000_000,
  version: 2,
  state: 'alive',
  backend: createAnnouncement(index),
}));

/** Generates the summary entries of a zone that has one backend server per service. */
export const createSummaryEntries = (services: number, zone: string): SummaryEntry[] => range(services).map(index => ({
  kind: 'service',
  service: serviceName(index),
  version: index + 1,
  count: 1,
  slots: 40,
  contacts: [{
    host: `host-${zone}-${index}`, address: `10.2.${Math.floor(index / 256)}.${index % 256}:7101`, incarnation: `incarnation-${zone}-${index}`, slots: 40, connections: 500, coldStartMs: 5000,
  }],
}));
