/** Estimates the quantities of each role at the target size. */
import {
  bytesByCause, CLIENT_GROUPS, createCosts, memoryByStore, NANOSECONDS_PER_MICROSECOND, processorByCause, rates, TARGET, TICKS_PER_SECOND, WATCHERS_PER_ZONE, ZONE_MEMBERS,
} from './capacity-costs.js';
import type {CapacityFigures} from './series.js';

/** Estimated quantity of a role, such as entry or watcher, at the target size. */
export type RoleEstimate = {
  name: string;
  role: string;
  quantity: string;
  /** Series and sizes that the value is computed from. */
  basis: string;
  value: number;
  unit: string;
  /** Source file that causes the quantity, relative to the root of the project. */
  code: string;
};

/** Estimates the quantities of each role. */
export const estimateRoles = (figures: CapacityFigures): RoleEstimate[] => {
  const costs = createCosts(figures);
  const {at} = costs;
  const processor = processorByCause(costs);
  const bytes = bytesByCause(costs);
  const memory = memoryByStore(figures, costs);
  const outboundUs = at('outbound-call-by-services', TARGET.services) / NANOSECONDS_PER_MICROSECOND;
  const inboundUs = at('inbound-call-by-groups', CLIENT_GROUPS) / NANOSECONDS_PER_MICROSECOND;
  const ticksUs = TICKS_PER_SECOND * at('inbound-tick', CLIENT_GROUPS) / NANOSECONDS_PER_MICROSECOND;
  return [
    {
      name: 'calls',
      role: 'entry, inbound, outbound',
      quantity: 'calls',
      value: rates.calls,
      unit: 'calls/s',
      basis: '6.4 million / 21,000',
      code: 'src/daemon/node.ts',
    },
    {
      name: 'outbound-processor',
      role: 'entry, outbound',
      quantity: 'processor time of decisions',
      value: rates.calls * outboundUs,
      unit: 'µs/s',
      basis: '`outbound-call-by-services` at 2,900, times calls',
      code: 'src/decisions/outbound/outbound.ts',
    },
    {
      name: 'inbound-processor',
      role: 'inbound',
      quantity: 'processor time of decisions',
      value: (rates.calls * inboundUs) + ticksUs,
      unit: 'µs/s',
      basis: '`inbound-call-by-groups` at 100, times calls, plus 50 `inbound-tick` at 100',
      code: 'src/decisions/inbound/inbound.ts',
    },
    {
      name: 'control-idle',
      role: 'every process',
      quantity: 'processor time, no changes',
      value: processor.idle,
      unit: 'µs/s',
      basis: '`idle-processor`, `idle-messages` at 955, `exchange-processor`',
      code: 'src/decisions/fleet/membership.ts',
    },
    {
      name: 'control-members',
      role: 'every process',
      quantity: 'processor time, record changes in the zone',
      value: processor.members,
      unit: 'µs/s',
      basis: '`member-change-*` at 955, `endpoint-list` and `endpoint-replacement` at 21,000',
      code: 'src/daemon/fleet-part.ts',
    },
    {
      name: 'control-summaries',
      role: 'every process',
      quantity: 'processor time, summary changes of all zones',
      value: processor.summaries,
      unit: 'µs/s',
      basis: '`summary-change-*` at 955, `endpoint-list` and `endpoint-replacement` at 21,000',
      code: 'src/decisions/fleet/zone-summary.ts',
    },
    {
      name: 'control-configuration',
      role: 'every process',
      quantity: 'processor time, configuration changes',
      value: processor.configuration,
      unit: 'µs/s',
      basis: '`configuration-change-*` at 955, `configuration-adoption` and `policy-compilation` at 2,900',
      code: 'src/decisions/fleet/configuration.ts',
    },
    {
      name: 'messages',
      role: 'every process',
      quantity: 'messages sent, no changes',
      value: costs.idle.messages,
      unit: 'messages/s',
      basis: '`idle-messages` at 955',
      code: 'src/decisions/fleet/membership.ts',
    },
    {
      name: 'bytes-idle',
      role: 'every process',
      quantity: 'bytes sent and received, no changes',
      value: bytes.idle,
      unit: 'B/s',
      basis: '`idle-bytes`, `idle-messages` at 955, `exchange-wire` at 0',
      code: 'src/daemon/fleet/envelope.ts',
    },
    {
      name: 'bytes-members',
      role: 'every process',
      quantity: 'bytes, record changes in the zone',
      value: bytes.members,
      unit: 'B/s',
      basis: '`member-change-*` at 955',
      code: 'src/decisions/fleet/membership.ts',
    },
    {
      name: 'bytes-summaries',
      role: 'every process',
      quantity: 'bytes, summary changes of all zones',
      value: bytes.summaries,
      unit: 'B/s',
      basis: '`summary-change-*` at 955',
      code: 'src/decisions/fleet/zone-summary.ts',
    },
    {
      name: 'bytes-configuration',
      role: 'every process',
      quantity: 'bytes, configuration changes',
      value: bytes.configuration,
      unit: 'B/s',
      basis: '`configuration-change-*` at 955',
      code: 'src/decisions/fleet/configuration-change.ts',
    },
    {
      name: 'memory-state',
      role: 'every process',
      quantity: 'memory for what it knows of the fleet',
      value: (memory.endpoints + memory.members + memory.summaries + memory.replayRecords + memory.configuration + memory.policy) / 1e6,
      unit: 'MB',
      basis: '`heap-endpoints` at 21,000, `heap-members`, 21 `heap-summary-entries` at 955, `heap-replay-records` at 999, `heap-configuration`, `heap-policy` at 2,900',
      code: 'src/decisions/fleet/state.ts',
    },
    {
      name: 'memory-bounded',
      role: 'every process',
      quantity: 'memory of full stores',
      value: (memory.fractions + memory.retryPools + memory.tickets + memory.responses + memory.replayBodies) / 1e6,
      unit: 'MB',
      basis: 'bounds of the stores times `heap-learnt-fractions`, `heap-retry-pools`, `heap-ticket-records`, `heap-stored-responses`; request bodies by their bound of 64 MiB',
      code: 'src/decisions/inbound/constants.ts',
    },
    {
      name: 'memory-program',
      role: 'every process',
      quantity: 'memory of the program',
      value: memory.program / 1e6,
      unit: 'MB',
      basis: 'resident set of the measuring program at its start; that of the daemon is not measured',
      code: 'src/daemon/main.ts',
    },
    {
      name: 'watcher-bytes',
      role: 'watcher',
      quantity: 'bytes read from the platform',
      value: rates.configuration * costs.storedBytes,
      unit: 'B/s',
      basis: '`configuration-stored` at 2,900, times changes',
      code: 'src/daemon/fleet/platform-adapter.ts',
    },
    {
      name: 'watcher-processor',
      role: 'watcher',
      quantity: 'processor time beyond that of a member',
      value: rates.configuration * costs.decodingUs,
      unit: 'µs/s',
      basis: '`configuration-decoding` at 2,900, times changes',
      code: 'src/daemon/fleet/platform-adapter.ts',
    },
    {
      name: 'relay-bytes',
      role: 'relay',
      quantity: 'bytes, one exchange with another zone per second',
      value: at('idle-bytes', ZONE_MEMBERS) / at('idle-messages', ZONE_MEMBERS) * 2,
      unit: 'B/s',
      basis: '`idle-bytes` / `idle-messages` at 955; the size of its own kind of message is not measured alone',
      code: 'src/decisions/fleet/zone-summary.ts',
    },
    {
      name: 'aggregator-processor',
      role: 'status aggregator',
      quantity: 'processor time of decisions',
      value: at('idle-aggregator-processor', ZONE_MEMBERS),
      unit: 'µs/s',
      basis: '`idle-aggregator-processor` at 955',
      code: 'src/decisions/fleet/status.ts',
    },
    {
      name: 'aggregator-bytes',
      role: 'status aggregator',
      quantity: 'bytes sent and received',
      value: at('idle-aggregator-bytes', ZONE_MEMBERS) + (at('idle-aggregator-messages', ZONE_MEMBERS) * costs.exchangeOverheadBytes),
      unit: 'B/s',
      basis: '`idle-aggregator-*` at 955, `exchange-wire` at 0',
      code: 'src/decisions/fleet/status.ts',
    },
    {
      name: 'platform-reads',
      role: 'platform',
      quantity: 'reads and watches',
      value: TARGET.zones * (at('idle-platform-reads', ZONE_MEMBERS) + at('idle-platform-watches', ZONE_MEMBERS)),
      unit: 'calls/s',
      basis: '22 × (`idle-platform-reads` + `idle-platform-watches`) at 955',
      code: 'src/decisions/fleet/platform-watch.ts',
    },
    {
      name: 'platform-writes',
      role: 'platform',
      quantity: 'writes',
      value: rates.configuration + (TARGET.zones * at('idle-platform-writes', ZONE_MEMBERS)),
      unit: 'writes/s',
      basis: 'changes + 22 × `idle-platform-writes` at 955',
      code: 'src/decisions/fleet/status.ts',
    },
    {
      name: 'platform-bytes',
      role: 'platform',
      quantity: 'bytes to watchers',
      value: TARGET.zones * WATCHERS_PER_ZONE * rates.configuration * costs.storedBytes / 1e6,
      unit: 'MB/s',
      basis: '44 × `configuration-stored` at 2,900, times changes',
      code: 'src/objects/configuration.ts',
    },
    {
      name: 'command-line',
      role: 'command line',
      quantity: 'processor time of the check of one change',
      value: costs.validationUs / 1000,
      unit: 'ms',
      basis: '`configuration-validation` at 2,900',
      code: 'src/objects/validation.ts',
    },
    {
      name: 'block',
      role: 'every process',
      quantity: 'loop blocked by one configuration change',
      value: (costs.adoptionUs + costs.compilationUs) / 1000,
      unit: 'ms',
      basis: '`configuration-adoption` + `policy-compilation` at 2,900',
      code: 'src/daemon/node.ts',
    },
    {
      name: 'publish',
      role: 'every process',
      quantity: 'loop blocked by one record or summary change',
      value: costs.publishUs / 1000,
      unit: 'ms',
      basis: '`endpoint-list` + `endpoint-replacement` at 21,000',
      code: 'src/daemon/fleet-part.ts',
    },
  ];
};
