/** Formats the output of the demo. */
import {isRejectionReason} from '../daemon/remedies.js';
import type {LoadSummary} from '../load/results.js';
import type {SystemResult} from '../measure/run-scenario.js';
import type {HostAddresses} from '../measure/measured-system.js';

/** Sequence of the configuration in effect on a host; undefined if the host did not respond. */
export type HostSequence = {host: string; sequence: number | undefined};

/** Sequence accepted by the platform, or undefined if it did not respond, and the sequences in effect on the hosts. */
export type ConfigurationCheck = {accepted: number | undefined; hosts: readonly HostSequence[]};

/** Display name of a priority. */
export type PriorityName = {priority: number; name: string};

/** Maximum delay of request starts behind the schedule, in milliseconds; figures of a run beyond it are invalid (`docs/measurements.md`). */
const START_LATE_MAX_MS = 250;

/** Columns of the table. Requests that were given up or cut without a rejection are counted separately from rejections. */
const COLUMNS = ['priority', 'requests', 'whole responses', 'p99', 'given up or cut', 'rejected by reason'] as const;

const formatPercent = (ratio: number): string => `${(ratio * 100).toFixed(1)} %`;

const formatRows = (rows: ReadonlyArray<readonly string[]>): string => {
  const widths = rows[0]!.map((_, column) => Math.max(...rows.map(row => row[column]!.length)));
  return rows.map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join('  ').trimEnd()).join('\n');
};

const formatRejections = ({failures}: LoadSummary): string => {
  const rejections = failures.filter(({reason}) => isRejectionReason(reason));
  return rejections.length === 0 ? '-' : rejections.map(({reason, outcome, count}) => `${count} ${reason} (${outcome})`).join(', ');
};

const countOtherFailures = ({failures}: LoadSummary): number =>
  failures.filter(({reason}) => !isRejectionReason(reason)).reduce((total, {count}) => total + count, 0);

const formatRow = (summary: LoadSummary, names: readonly PriorityName[]): string[] => {
  const name = names.find(({priority}) => String(priority) === summary.name)?.name;
  return [
    name === undefined ? summary.name : `${summary.name} ${name}`,
    String(summary.offered),
    `${summary.completed} (${formatPercent(summary.successRatio)})`,
    summary.completed === 0 ? '-' : `${Math.round(summary.p99Milliseconds)} ms`,
    String(countOtherFailures(summary)),
    formatRejections(summary),
  ];
};

/** Describes whether the accepted configuration is in effect on every host. */
export const formatConfiguration = ({accepted, hosts}: ConfigurationCheck): string => {
  if (accepted === undefined) {
    return 'configuration: the platform did not answer';
  }

  const outdatedHosts = hosts.filter(({sequence}) => sequence !== accepted);
  const details = outdatedHosts.map(({host, sequence}) => `${host}: ${sequence === undefined ? 'no answer' : `sequence ${sequence}`}`);
  return outdatedHosts.length === 0
    ? `configuration: sequence ${accepted} is in effect on all ${hosts.length} hosts`
    : `configuration: sequence ${accepted} is not in effect on ${outdatedHosts.length} of ${hosts.length} hosts (${details.join(', ')})`;
};

/** Formats the results of the run, with a warning if the machine was too busy for valid figures. */
export const formatResult = (result: SystemResult, names: readonly PriorityName[], check: ConfigurationCheck): string => [
  formatRows([[...COLUMNS], ...result.priorities.map(summary => formatRow(summary, names))]),
  '',
  `duplicate runs of non-idempotent requests: ${result.duplicateRuns}`,
  `\`not-run\` rejections of requests that had run: ${result.falseNotRun}`,
  `truncated responses or responses to another request: ${result.truncatedAnswers}`,
  `goodput in the surge: ${formatPercent(result.goodputRatio)} of what the slots allow`,
  result.recovered ? `recovery: ${result.recoverySeconds} s after the end of the surge` : 'recovery: not within the run',
  formatConfiguration(check),
  ...(result.maxStartLateMs > START_LATE_MAX_MS
    ? [`the machine was too busy: the load generator was ${Math.round(result.maxStartLateMs)} ms late, so these figures do not count; run again on an idle machine`]
    : []),
  ...result.unexpectedEnds.map(name => `ended unexpectedly: ${name}`),
].join('\n');

/** Formats the addresses of a running deployment, with commands to try. */
export const formatAddresses = (hosts: readonly HostAddresses[], platform: string, fleetKey: string): string => {
  const [firstHost] = hosts;
  const bookingHost = hosts.find(({service}) => service.name === 'chiuse') ?? firstHost!;
  return [
    formatRows([['host', 'zone', 'service', 'entry', 'admin'], ...hosts.map(host => [host.name, host.zone, host.service.name, host.entry, host.admin])]),
    '',
    'The deployment runs until Ctrl-C. Commands to try in another terminal, in this directory:',
    '',
    `  export JUJUBEWELL_PLATFORM=${platform} JUJUBEWELL_ADMIN=${hosts.map(({admin}) => admin).join(',')}`,
    `  export JUJUBEWELL_FLEET_KEY=${fleetKey}`,
    '',
    `  curl -i http://${firstHost!.entry}/statusrog/channels`,
    `  curl -i -X POST http://${firstHost!.entry}/chiuse/closures        # 428 with a ticket; nothing has run`,
    `  curl -i -X POST -H 'jujubewell-ticket: TICKET' http://${bookingHost.entry}/chiuse/closures`,
    `  curl -i http://${firstHost!.entry}/statusrog/nowhere      # a rejection with a jujubewell-explain id`,
    '',
    '  node dist/cli/main.js status',
    '  node dist/cli/main.js events',
    `  node dist/cli/main.js explain ID --admin ${firstHost!.admin}`,
    '  node dist/cli/main.js describe RequestKind/channel-status',
    '  node dist/cli/main.js token foremen',
  ].join('\n');
};
