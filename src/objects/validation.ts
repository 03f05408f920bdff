/** Validates a set of declared objects as a whole. */
import {Buffer} from 'node:buffer';
import {fail, ok, type Result} from '../shared/result.js';
import {
  encodeConfiguration, emptyConfiguration, objectKey, sortObjects,
} from './configuration.js';
import type {ObjectFault} from './fault.js';
import {suggest} from './nearest.js';
import {
  DEFAULT_PRIORITY_NAME, pathMatches, selects, type Labels,
} from './policy.js';
import type {
  DeclaredObject, RequestKind, Rule, Selection, Selector, Service,
} from './schema.js';
import {parseObject} from './shape.js';

/** Largest configuration, in bytes of JSON; the platform stores values up to 1 MB. */
export const CONFIGURATION_MAX_BYTES = 1_048_576;

/** Room for the fields of a configuration besides its objects, in bytes: author, ids, times and up to 500 last changes of about 150 bytes. */
const ENVELOPE_BYTES = 131_072;

/** Valid objects, or undefined when there are errors, and all errors and warnings. */
export type Validation = {objects: DeclaredObject[] | undefined; faults: ObjectFault[]};

type ObjectSet = {
  services: Service[];
  requestKinds: RequestKind[];
  rules: Rule[];
  serviceByName: ReadonlyMap<string, Service>;
  /** Labels of all services as `key=value`. */
  serviceLabels: readonly string[];
  requestKindLabels: readonly string[];
};

type PlacedSelection = {path: string; select: Selection};

type Detail = Omit<ObjectFault, 'severity' | 'object'>;

const error = (object: {kind: string; name: string}, detail: Detail): ObjectFault => ({severity: 'error', object: objectKey(object), ...detail});

const warning = (object: {kind: string; name: string}, detail: Detail): ObjectFault => ({...error(object, detail), severity: 'warning'});

const labelTexts = (labelled: ReadonlyArray<{labels: Labels}>): string[] =>
  [...new Set(labelled.flatMap(({labels}) => Object.entries(labels).map(([key, value]) => `${key}=${value}`)))];

const split = (objects: readonly DeclaredObject[]): ObjectSet => {
  const services = objects.filter((object): object is Service => object.kind === 'Service');
  const requestKinds = objects.filter((object): object is RequestKind => object.kind === 'RequestKind');
  return {
    services,
    requestKinds,
    rules: objects.filter((object): object is Rule => object.kind === 'Rule'),
    serviceByName: new Map(services.map(service => [service.name, service])),
    serviceLabels: labelTexts(services),
    requestKindLabels: labelTexts(requestKinds),
  };
};

/** Returns the items that come after an equal one, with their positions. */
const repeated = <Item>(items: readonly Item[], identity: (item: Item) => string): Array<{item: Item; index: number}> => {
  const seen = new Set<string>();
  return items.flatMap((item, index) => {
    const isRepeated = seen.has(identity(item));
    seen.add(identity(item));
    return isRepeated ? [{item, index}] : [];
  });
};

const duplicateFaults = (objects: readonly DeclaredObject[]): ObjectFault[] =>
  repeated(objects, objectKey).map(({item}) => error(item, {
    path: 'name',
    found: item.name,
    message: 'another object of this kind has the same name',
    remedy: 'rename or remove one of them',
  }));

const referenceFaults = ({services, requestKinds, serviceByName}: ObjectSet): ObjectFault[] =>
  requestKinds
    .filter(({spec}) => !serviceByName.has(spec.service))
    .map(requestKind => error(requestKind, {
      path: 'spec.service',
      found: requestKind.spec.service,
      message: 'there is no such service',
      remedy: suggest(requestKind.spec.service, services.map(({name}) => name)) ?? 'declare the service',
    }));

const isPattern = (path: string): boolean => path.endsWith('*');

/** Whether every path that a pattern matches is matched by another one too. */
const covers = (outer: string, inner: string): boolean => isPattern(inner)
  ? isPattern(outer) && pathMatches(outer, inner.slice(0, -1))
  : pathMatches(outer, inner);

const overlapFault = (first: RequestKind, second: RequestKind): ObjectFault[] => {
  const shared = second.spec.methods.filter(method => first.spec.methods.includes(method));
  const {path} = second.spec;
  if (shared.length === 0 || !(covers(first.spec.path, path) || covers(path, first.spec.path))) {
    return [];
  }

  if (shared.length === second.spec.methods.length && covers(first.spec.path, path)) {
    return [error(second, {
      path: 'spec.path',
      found: path,
      message: `it never matches: \`${first.name}\` comes first in order of name and covers it`,
      remedy: `rename it to come before \`${first.name}\`, or remove one of them`,
    })];
  }

  return [warning(second, {
    path: 'spec.path',
    found: path,
    message: `\`${first.name}\` (${shared.join(', ')} ${first.spec.path}) matches some of the same requests and comes first in order of name`,
    remedy: 'check that this order is meant',
  })];
};

const overlapFaults = ({services, requestKinds}: ObjectSet): ObjectFault[] => services.flatMap(({name}) => {
  const kinds = requestKinds.filter(({spec}) => spec.service === name).sort((a, b) => a.name < b.name ? -1 : 1);
  return kinds.flatMap((second, index) =>
    kinds.slice(0, index).filter(first => first.name !== second.name).flatMap(first => overlapFault(first, second)));
});

const selectionsOf = ({spec}: Rule): PlacedSelection[] => spec.type === 'priority'
  ? spec.priorities.map(({select}, index) => ({path: `spec.priorities[${index}].select`, select}))
  : [{path: 'spec.select', select: spec.select}];

const unknownLabelFaults = (rule: Rule, path: string, selector: Selector | undefined, known: readonly string[]): ObjectFault[] =>
  Object.entries(selector?.labels ?? {})
    .filter(([key, value]) => !known.includes(`${key}=${value}`))
    .map(([key, value]) => warning(rule, {
      path: `${path}.labels.${key}`,
      found: value,
      message: 'no declared object has this label, so the selector matches nothing',
      remedy: suggest(`${key}=${value}`, known) ?? 'label the objects',
    }));

/** Whether a selection covers a request kind or, for rules on whole backend servers, a service; backend servers are not known here. */
const selectsAny = ({services, requestKinds, serviceByName}: ObjectSet, select: Selection, ofRequestKinds: boolean): boolean => {
  const declared = {...select, backendServers: undefined};
  return ofRequestKinds
    ? requestKinds.some(requestKind => {
      const service = serviceByName.get(requestKind.spec.service);
      return service !== undefined && selects(declared, {service, requestKind});
    })
    : services.some(service => selects(declared, {service}));
};

const unusableSelectorFaults = (rule: Rule, {path, select}: PlacedSelection): ObjectFault[] => {
  const {type} = rule.spec;
  const ofBackendServers = type === 'limit' || type === 'drain';
  return [
    ...(type === 'drain' && select.requestKinds !== undefined
      ? [error(rule, {
        path: `${path}.requestKinds`,
        found: select.requestKinds,
        message: 'a drain applies to whole backend servers',
        remedy: 'select services or backend servers instead',
      })]
      : []),
    ...(!ofBackendServers && select.backendServers !== undefined
      ? [error(rule, {
        path: `${path}.backendServers`,
        found: select.backendServers,
        message: `a ${type} applies to requests before a backend server is chosen`,
        remedy: 'select services or request kinds instead',
      })]
      : []),
  ];
};

const selectionFaults = (set: ObjectSet, rule: Rule, placed: PlacedSelection): ObjectFault[] => {
  const {path, select} = placed;
  const faults = [
    ...unusableSelectorFaults(rule, placed),
    ...unknownLabelFaults(rule, `${path}.services`, select.services, set.serviceLabels),
    ...unknownLabelFaults(rule, `${path}.requestKinds`, select.requestKinds, set.requestKindLabels),
  ];
  return faults.length > 0 || selectsAny(set, select, rule.spec.type !== 'drain')
    ? faults
    : [warning(rule, {
      path,
      found: select,
      message: 'nothing that is declared matches all of the selectors together',
      remedy: 'check the labels of the services and their request kinds',
    })];
};

const priorityFaults = (rule: Rule): ObjectFault[] => {
  if (rule.spec.type !== 'priority') {
    return [];
  }

  const {priorities} = rule.spec;
  const highestShare = priorities[0]?.minimumShare ?? 0;
  let total = 0;
  for (const {minimumShare} of priorities) {
    total += minimumShare ?? 0;
  }

  return [
    ...repeated(priorities, ({name}) => name).map(({item, index}) => error(rule, {
      path: `spec.priorities[${index}].name`, found: item.name, message: 'another priority has the same name', remedy: 'rename one of them',
    })),
    ...priorities.flatMap(({name}, index) => name === DEFAULT_PRIORITY_NAME
      ? [error(rule, {
        path: `spec.priorities[${index}].name`, found: name, message: 'the name is reserved for work that no priority selects', remedy: 'use another name',
      })]
      : []),
    ...(highestShare > 0
      ? [error(rule, {
        path: 'spec.priorities[0].minimumShare',
        found: highestShare,
        message: 'the highest priority is served before all others and has no minimum',
        remedy: 'remove it',
      })]
      : []),
    ...(total > 1
      ? [error(rule, {
        path: 'spec.priorities', found: total, message: 'the minimum shares add up to more than 1', remedy: 'lower some of them',
      })]
      : []),
  ];
};

const shareFaults = (rule: Rule): ObjectFault[] => rule.spec.type === 'share'
  ? repeated(rule.spec.groups, ({name}) => name).map(({item, index}) => error(rule, {
    path: `spec.groups[${index}].name`, found: item.name, message: 'the client group is listed twice', remedy: 'keep one entry with the weight that is meant',
  }))
  : [];

const priorityRuleFaults = ({rules}: ObjectSet): ObjectFault[] => {
  const [first, ...others] = rules.filter(({spec}) => spec.type === 'priority');
  return others.map(rule => error(rule, {
    path: 'spec.type',
    found: 'priority',
    message: `\`${first!.name}\` states priorities already, and only one order can hold`,
    remedy: 'move the priorities into one rule',
  }));
};

const sizeFaults = (objects: readonly DeclaredObject[]): ObjectFault[] => {
  const bytes = Buffer.byteLength(JSON.stringify(encodeConfiguration({...emptyConfiguration, objects: sortObjects(objects)}))) + ENVELOPE_BYTES;
  return bytes > CONFIGURATION_MAX_BYTES
    ? [{
      severity: 'error',
      object: 'configuration',
      path: '',
      found: `${bytes} bytes`,
      message: `the configuration is larger than ${CONFIGURATION_MAX_BYTES} bytes as stored, which the platform does not accept`,
      remedy: 'select by label instead of declaring a rule for each service, and shorten descriptions',
    }]
    : [];
};

const setFaults = (objects: readonly DeclaredObject[]): ObjectFault[] => {
  const set = split(objects);
  return [
    ...duplicateFaults(objects),
    ...referenceFaults(set),
    ...overlapFaults(set),
    ...priorityRuleFaults(set),
    ...set.rules.flatMap(rule => [
      ...priorityFaults(rule),
      ...shareFaults(rule),
      ...selectionsOf(rule).flatMap(selection => selectionFaults(set, rule, selection)),
    ]),
    ...sizeFaults(objects),
  ];
};

const isError = ({severity}: ObjectFault): boolean => severity === 'error';

/** Checks a set of objects, given as an array or a single object, and lists all errors and warnings. */
export const checkObjects = (input: unknown): Validation => {
  const parsed = (Array.isArray(input) ? input : [input]).map((item: unknown, position) => parseObject(item, position));
  const objects = parsed.flatMap(result => result.kind === 'ok' ? [result.value] : []);
  const shapeFaults = parsed.flatMap(result => result.kind === 'error' ? result.error : []);
  // Objects whose shape is wrong are missing from the set, so comparing the rest would report faults that are not there.
  const faults = shapeFaults.length > 0 ? [...shapeFaults, ...duplicateFaults(objects)] : setFaults(objects);
  return {objects: faults.some(fault => isError(fault)) ? undefined : objects, faults};
};

/** Validates a set of objects; the error lists every fault, warnings included. */
export const validateObjects = (input: unknown): Result<DeclaredObject[], ObjectFault[]> => {
  const {objects, faults} = checkObjects(input);
  return objects === undefined ? fail(faults) : ok(objects);
};
