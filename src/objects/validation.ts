/** Validates a set of declared objects as a whole. */
import {Buffer} from 'node:buffer';
import {fail, ok, type Result} from '../shared/result.js';
import {
  encodeConfiguration, emptyConfiguration, objectKey, sortObjects,
} from './configuration.js';
import type {ObjectDiagnostic} from './diagnostic.js';
import {suggestCorrection} from './suggestion.js';
import {
  DEFAULT_PRIORITY_NAME, pathMatches, selects, type Labels,
} from './policy.js';
import type {
  DeclaredObject, RequestKind, Rule, Selection, Selector, Service,
} from './schema.js';
import {parseObject} from './parse-object.js';

/** Largest configuration, in bytes of JSON; the platform stores values up to 1 MB. */
export const CONFIGURATION_MAX_BYTES = 1_048_576;

/** Bytes reserved for the fields of a configuration besides its objects: author, ids, times and up to 500 last changes of about 150 bytes each. */
const METADATA_MAX_BYTES = 131_072;

/** Result of a validation: the objects, or undefined when there are errors, and all errors and warnings. */
export type ValidationResult = {objects: DeclaredObject[] | undefined; diagnostics: ObjectDiagnostic[]};

type ObjectSet = {
  services: Service[];
  requestKinds: RequestKind[];
  rules: Rule[];
  serviceByName: ReadonlyMap<string, Service>;
  /** Labels of all services as `key=value`. */
  serviceLabels: readonly string[];
  requestKindLabels: readonly string[];
};

type LocatedSelection = {path: string; select: Selection};

type DiagnosticDetail = Omit<ObjectDiagnostic, 'severity' | 'object'>;

const error = (object: {kind: string; name: string}, detail: DiagnosticDetail): ObjectDiagnostic => ({severity: 'error', object: objectKey(object), ...detail});

const warning = (object: {kind: string; name: string}, detail: DiagnosticDetail): ObjectDiagnostic => ({...error(object, detail), severity: 'warning'});

const listLabels = (labelled: ReadonlyArray<{labels: Labels}>): string[] =>
  [...new Set(labelled.flatMap(({labels}) => Object.entries(labels).map(([key, value]) => `${key}=${value}`)))];

const indexObjects = (objects: readonly DeclaredObject[]): ObjectSet => {
  const services = objects.filter((object): object is Service => object.kind === 'Service');
  const requestKinds = objects.filter((object): object is RequestKind => object.kind === 'RequestKind');
  return {
    services,
    requestKinds,
    rules: objects.filter((object): object is Rule => object.kind === 'Rule'),
    serviceByName: new Map(services.map(service => [service.name, service])),
    serviceLabels: listLabels(services),
    requestKindLabels: listLabels(requestKinds),
  };
};

/** Returns the items that repeat an earlier one, with their positions. */
const findRepeated = <Item>(items: readonly Item[], identity: (item: Item) => string): Array<{item: Item; index: number}> => {
  const seen = new Set<string>();
  return items.flatMap((item, index) => {
    const isRepeated = seen.has(identity(item));
    seen.add(identity(item));
    return isRepeated ? [{item, index}] : [];
  });
};

const checkDuplicates = (objects: readonly DeclaredObject[]): ObjectDiagnostic[] =>
  findRepeated(objects, objectKey).map(({item}) => error(item, {
    path: 'name',
    found: item.name,
    message: 'another object of this kind has the same name',
    remedy: 'rename or remove one of them',
  }));

const checkReferences = ({services, requestKinds, serviceByName}: ObjectSet): ObjectDiagnostic[] =>
  requestKinds
    .filter(({spec}) => !serviceByName.has(spec.service))
    .map(requestKind => error(requestKind, {
      path: 'spec.service',
      found: requestKind.spec.service,
      message: 'there is no such service',
      remedy: suggestCorrection(requestKind.spec.service, services.map(({name}) => name)) ?? 'declare the service',
    }));

const isPattern = (path: string): boolean => path.endsWith('*');

/** Returns whether the pattern `outer` matches every path that the pattern `inner` matches. */
const covers = (outer: string, inner: string): boolean => isPattern(inner)
  ? isPattern(outer) && pathMatches(outer, inner.slice(0, -1))
  : pathMatches(outer, inner);

const checkOverlap = (first: RequestKind, second: RequestKind): ObjectDiagnostic[] => {
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

const checkOverlaps = ({services, requestKinds}: ObjectSet): ObjectDiagnostic[] => services.flatMap(({name}) => {
  const kinds = requestKinds.filter(({spec}) => spec.service === name).sort((a, b) => a.name < b.name ? -1 : 1);
  return kinds.flatMap((second, index) =>
    kinds.slice(0, index).filter(first => first.name !== second.name).flatMap(first => checkOverlap(first, second)));
});

const listSelections = ({spec}: Rule): LocatedSelection[] => spec.type === 'priority'
  ? spec.priorities.map(({select}, index) => ({path: `spec.priorities[${index}].select`, select}))
  : [{path: 'spec.select', select: spec.select}];

const checkLabels = (rule: Rule, path: string, selector: Selector | undefined, known: readonly string[]): ObjectDiagnostic[] =>
  Object.entries(selector?.labels ?? {})
    .filter(([key, value]) => !known.includes(`${key}=${value}`))
    .map(([key, value]) => warning(rule, {
      path: `${path}.labels.${key}`,
      found: value,
      message: 'no declared object has this label, so the selector matches nothing',
      remedy: suggestCorrection(`${key}=${value}`, known) ?? 'label the objects',
    }));

/** Returns whether a selection matches a request kind or, for rules on whole backend servers, a service. Backend servers are not declared, so their selector is ignored. */
const selectsAnyDeclared = ({services, requestKinds, serviceByName}: ObjectSet, select: Selection, appliesToRequestKinds: boolean): boolean => {
  const declared = {...select, backendServers: undefined};
  return appliesToRequestKinds
    ? requestKinds.some(requestKind => {
      const service = serviceByName.get(requestKind.spec.service);
      return service !== undefined && selects(declared, {service, requestKind});
    })
    : services.some(service => selects(declared, {service}));
};

const checkSelectors = (rule: Rule, {path, select}: LocatedSelection): ObjectDiagnostic[] => {
  const {type} = rule.spec;
  const allowsBackendServers = type === 'limit' || type === 'drain';
  return [
    ...(type === 'drain' && select.requestKinds !== undefined
      ? [error(rule, {
        path: `${path}.requestKinds`,
        found: select.requestKinds,
        message: 'a drain applies to whole backend servers',
        remedy: 'select services or backend servers instead',
      })]
      : []),
    ...(!allowsBackendServers && select.backendServers !== undefined
      ? [error(rule, {
        path: `${path}.backendServers`,
        found: select.backendServers,
        message: `a ${type} applies to requests before a backend server is chosen`,
        remedy: 'select services or request kinds instead',
      })]
      : []),
  ];
};

const checkSelection = (set: ObjectSet, rule: Rule, located: LocatedSelection): ObjectDiagnostic[] => {
  const {path, select} = located;
  const diagnostics = [
    ...checkSelectors(rule, located),
    ...checkLabels(rule, `${path}.services`, select.services, set.serviceLabels),
    ...checkLabels(rule, `${path}.requestKinds`, select.requestKinds, set.requestKindLabels),
  ];
  return diagnostics.length > 0 || selectsAnyDeclared(set, select, rule.spec.type !== 'drain')
    ? diagnostics
    : [warning(rule, {
      path,
      found: select,
      message: 'nothing that is declared matches all of the selectors together',
      remedy: 'check the labels of the services and their request kinds',
    })];
};

const checkPriorities = (rule: Rule): ObjectDiagnostic[] => {
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
    ...findRepeated(priorities, ({name}) => name).map(({item, index}) => error(rule, {
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

const checkShares = (rule: Rule): ObjectDiagnostic[] => rule.spec.type === 'share'
  ? findRepeated(rule.spec.groups, ({name}) => name).map(({item, index}) => error(rule, {
    path: `spec.groups[${index}].name`, found: item.name, message: 'the client group is listed twice', remedy: 'keep one entry with the weight that is meant',
  }))
  : [];

const checkPriorityRules = ({rules}: ObjectSet): ObjectDiagnostic[] => {
  const [first, ...others] = rules.filter(({spec}) => spec.type === 'priority');
  return others.map(rule => error(rule, {
    path: 'spec.type',
    found: 'priority',
    message: `\`${first!.name}\` states priorities already, and only one order can apply`,
    remedy: 'move the priorities into one rule',
  }));
};

const checkSize = (objects: readonly DeclaredObject[]): ObjectDiagnostic[] => {
  const bytes = Buffer.byteLength(JSON.stringify(encodeConfiguration({...emptyConfiguration, objects: sortObjects(objects)}))) + METADATA_MAX_BYTES;
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

const checkObjectSet = (objects: readonly DeclaredObject[]): ObjectDiagnostic[] => {
  const set = indexObjects(objects);
  return [
    ...checkDuplicates(objects),
    ...checkReferences(set),
    ...checkOverlaps(set),
    ...checkPriorityRules(set),
    ...set.rules.flatMap(rule => [
      ...checkPriorities(rule),
      ...checkShares(rule),
      ...listSelections(rule).flatMap(selection => checkSelection(set, rule, selection)),
    ]),
    ...checkSize(objects),
  ];
};

const isError = ({severity}: ObjectDiagnostic): boolean => severity === 'error';

/** Checks a set of objects, given as an array or a single object, and returns all errors and warnings. */
export const checkObjects = (input: unknown): ValidationResult => {
  const parsed = (Array.isArray(input) ? input : [input]).map((item: unknown, position) => parseObject(item, position));
  const objects = parsed.flatMap(result => result.kind === 'ok' ? [result.value] : []);
  const parseErrors = parsed.flatMap(result => result.kind === 'error' ? result.error : []);
  // Objects that do not parse are missing from the set, so checking the rest against each other would report false errors.
  const diagnostics = parseErrors.length > 0 ? [...parseErrors, ...checkDuplicates(objects)] : checkObjectSet(objects);
  return {objects: diagnostics.some(diagnostic => isError(diagnostic)) ? undefined : objects, diagnostics};
};

/** Validates a set of objects; on failure, returns all errors and warnings. */
export const validateObjects = (input: unknown): Result<DeclaredObject[], ObjectDiagnostic[]> => {
  const {objects, diagnostics} = checkObjects(input);
  return objects === undefined ? fail(diagnostics) : ok(objects);
};
