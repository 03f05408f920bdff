/** Guards against documentation that lacks a rejection reason, metric or setting, or states an outdated status, default or range. */
import {readFileSync} from 'node:fs';
import test from 'ava';
import {z} from 'zod';
import {createMetrics} from '../metrics.js';
import {isRejectionReason, REJECTION_REASONS, remedyFor} from '../remedies.js';
import {settingsSchema} from '../settings.js';

/** Returns the table rows of a page whose first cell is a name in backquotes, by that name. */
const tableRowsOf = (page: string): Map<string, string[]> => {
  const text = readFileSync(new URL(`../../../docs/${page}`, import.meta.url), 'utf8');
  const rows = text.split('\n').filter(line => line.startsWith('| `')).map(line => line.split('|').slice(1, -1).map(cell => cell.trim()));
  return new Map(rows.map(([name, ...cells]) => [name!.replaceAll('`', ''), cells]));
};

const operators = tableRowsOf('operators.md');
const settings = tableRowsOf('settings.md');

test('the operators page lists every rejection reason, with its status', t => {
  t.true(REJECTION_REASONS.length > 0);
  for (const reason of REJECTION_REASONS) {
    const row = operators.get(reason);
    t.truthy(row, `${reason} is missing; add a row to docs/operators.md`);
    t.is(row?.[0], isRejectionReason(reason) ? String(remedyFor(reason).status) : undefined, `reason ${reason}`);
    t.true(row?.slice(1).every(cell => cell !== ''), `reason ${reason}`);
  }
});

test('the operators page lists no rejection reason that does not exist', t => {
  const rows = [...operators].filter(([, cells]) => /^\d{3}$/u.test(cells[0]!)).map(([name]) => name);
  t.deepEqual(rows.sort(), [...REJECTION_REASONS].sort());
});

test('the operators page lists exactly the metrics that exist, with their types', async t => {
  const metrics = createMetrics();
  const text = await metrics.render();
  const existing = [...text.matchAll(/^# TYPE (\S+) (\S+)$/gmu)].map(([, name, type]) => `${name} ${type}`);
  const documented = [...operators].filter(([name]) => name.startsWith('jujubewell_')).map(([name, cells]) => `${name} ${cells[0]}`);
  t.deepEqual(documented.sort(), existing.sort());
});

type OptionSchema = {type?: string; default?: unknown; minimum?: number; maximum?: number; enum?: string[]; properties?: Record<string, OptionSchema>; required?: string[]};

type DocumentedOption = {name: string; default: string; range: string | undefined};

const rangeOf = (option: OptionSchema): string | undefined => {
  if (option.enum !== undefined) {
    return option.enum.map(value => `\`${value}\``).join(', ');
  }

  return option.type === 'integer' ? `${option.minimum} to ${option.maximum}` : undefined;
};

const optionsOf = (section: OptionSchema, prefix = ''): DocumentedOption[] => Object.entries(section.properties ?? {}).flatMap(([key, option]) => {
  const name = `${prefix}${key}`;
  return option.properties === undefined
    ? [{name, default: option.default === undefined ? 'required' : `\`${JSON.stringify(option.default)}\``, range: rangeOf(option)}]
    : optionsOf(option, `${name}.`);
});

test('the settings page lists exactly the options that exist, with defaults and ranges', t => {
  const options = optionsOf(z.toJSONSchema(settingsSchema, {io: 'input', unrepresentable: 'any'}) as OptionSchema);
  t.deepEqual([...settings.keys()], options.map(({name}) => name));
  for (const option of options) {
    const [byDefault, range, meaning, remedy] = settings.get(option.name)!;
    t.is(byDefault, option.default, `option ${option.name}`);
    t.is(range, option.range ?? range, `option ${option.name}`);
    t.truthy(meaning, `option ${option.name}`);
    t.truthy(remedy, `option ${option.name}`);
  }
});

test('the previous test checks the range of every option that has one', t => {
  const options = optionsOf(z.toJSONSchema(settingsSchema, {io: 'input', unrepresentable: 'any'}) as OptionSchema);
  t.deepEqual(options.filter(({range}) => range !== undefined).map(({name}) => name), [
    'stopTimeoutMs', 'limits.replayBytesPerCall', 'limits.replayBytes', 'limits.ticketLifetimeMs', 'limits.clientConnections', 'limits.peerConnections', 'log.level', 'log.format',
  ]);
});
