/** Compiles declared objects into the policy by which requests are handled. */
import type {
  DeclaredObject, RequestKind, Rule, Selection, Selector, Service,
} from './schema.js';

/** Effective settings of one request kind, after all rules have been applied. */
export type Treatment = {
  service: string;
  requestKind: string;
  methods: readonly string[];
  path: string;
  idempotent: boolean;
  /** Position in the order of priorities; 0 is the most urgent. */
  priority: number;
  priorityName: string;
  /** Longest time that a request may take, in milliseconds. */
  deadlineMs: number;
  /** Retries allowed for one request over its whole call chain. */
  retryBudget: number;
  /** Retries allowed per call, on average. */
  retryRatio: number;
  /** Longest wait in the queue of a backend server, in milliseconds; when undefined, it follows from the deadline. */
  queueMs: number | undefined;
  /** Upper bound of calls in flight per backend server; when undefined, its slots. */
  concurrency: number | undefined;
  /** Weights by client group. */
  weights: ReadonlyMap<string, number>;
};

/** Compiled form of the declared objects: priorities, request kinds and drain times. */
export type Policy = {
  /** Number of priorities, including the default one for work that no priority selects. */
  priorityCount: number;
  /** Minimum share of each priority, in order, of the capacity below the highest priority; their sum is at most 1. */
  minimumShares: readonly number[];
  /** Treatments of the request kinds of each service, in matching order. */
  treatments: ReadonlyMap<string, readonly Treatment[]>;
  /** Longest time that calls in flight get to finish when a backend server leaves, in milliseconds, by service. */
  drainMs: ReadonlyMap<string, number>;
};

/** Name of the priority of work that no priority selects. */
export const DEFAULT_PRIORITY_NAME = 'default';
/** Deadline of a request that no rule selects, in milliseconds. */
export const DEFAULT_DEADLINE_MS = 5000;
/** Retry budget of a request that no rule selects. */
export const DEFAULT_RETRY_BUDGET = 2;
/** Retry ratio of calls that no rule selects. */
export const DEFAULT_RETRY_RATIO = 0.1;
/** Drain time of a service that no rule selects, in milliseconds. */
export const DEFAULT_DRAIN_MS = 30_000;

/** Labels of an object. */
export type Labels = Readonly<Record<string, string>>;
type RuleOfType<Type extends Rule['spec']['type']> = Extract<Rule['spec'], {type: Type}>;

const matchesSelector = (selector: Selector | undefined, labels: Labels): boolean =>
  selector === undefined
  || Object.entries(selector.labels).every(([key, value]) => labels[key] === value);

/** Service, request kind and backend server that a selection is matched against. */
export type SelectionTarget = {
  service: Service;
  /** Absent for rules on whole backend servers. */
  requestKind?: RequestKind;
  /** Labels of the host's own backend server, when there is one. */
  backendLabels?: Labels;
};

/** Returns whether a selection matches a target. A selector for something that the target lacks does not match. */
export const selects = (select: Selection, {service, requestKind, backendLabels}: SelectionTarget): boolean =>
  matchesSelector(select.services, service.labels)
  && (requestKind === undefined ? select.requestKinds === undefined : matchesSelector(select.requestKinds, requestKind.labels))
  && (backendLabels === undefined ? select.backendServers === undefined : matchesSelector(select.backendServers, backendLabels));

const byName = (a: {name: string}, b: {name: string}): number =>
  a.name === b.name ? 0 : (a.name < b.name ? -1 : 1);

const specsOfType = <Type extends Rule['spec']['type']>(rules: readonly Rule[], type: Type): Array<RuleOfType<Type>> =>
  rules.map(rule => rule.spec).filter((spec): spec is RuleOfType<Type> => spec.type === type);

/** Specifications of the rules by type, in order of rule name. */
type RulesByType = {[Type in Rule['spec']['type']]: Array<RuleOfType<Type>>};

const groupByType = (rules: readonly Rule[]): RulesByType => ({
  priority: specsOfType(rules, 'priority'),
  deadline: specsOfType(rules, 'deadline'),
  retry: specsOfType(rules, 'retry'),
  limit: specsOfType(rules, 'limit'),
  share: specsOfType(rules, 'share'),
  drain: specsOfType(rules, 'drain'),
});

/** Groups request kinds by service, so that the cost of compiling grows linearly with the services and not quadratically. */
const groupByService = (requestKinds: readonly RequestKind[]): Map<string, RequestKind[]> => {
  const groups = new Map<string, RequestKind[]>();
  for (const requestKind of requestKinds) {
    const group = groups.get(requestKind.spec.service) ?? [];
    group.push(requestKind);
    groups.set(requestKind.spec.service, group);
  }

  return groups;
};

const resolvePriority = (rules: RulesByType, target: SelectionTarget): {priority: number; priorityName: string} => {
  const priorities = rules.priority.flatMap(spec => spec.priorities);
  const index = priorities.findIndex(priority => selects(priority.select, target));
  return index === -1 ? {priority: priorities.length, priorityName: DEFAULT_PRIORITY_NAME} : {priority: index, priorityName: priorities[index]!.name};
};

const resolveTreatment = (rules: RulesByType, service: Service, requestKind: RequestKind, backendLabels?: Labels): Treatment => {
  const target = {service, requestKind, backendLabels};
  const applies = (spec: {select: Selection}) => selects(spec.select, target);
  const retry = rules.retry.find(spec => applies(spec));
  const limit = rules.limit.find(spec => applies(spec));
  const share = rules.share.find(spec => applies(spec));
  return {
    service: service.name,
    requestKind: requestKind.name,
    methods: requestKind.spec.methods,
    path: requestKind.spec.path,
    idempotent: requestKind.spec.idempotent,
    ...resolvePriority(rules, target),
    deadlineMs: rules.deadline.find(spec => applies(spec))?.milliseconds ?? DEFAULT_DEADLINE_MS,
    retryBudget: retry?.retryBudget ?? DEFAULT_RETRY_BUDGET,
    retryRatio: retry?.ratio ?? DEFAULT_RETRY_RATIO,
    queueMs: limit?.queueMs,
    concurrency: limit?.concurrency,
    weights: new Map(share?.groups.map(group => [group.name, group.weight])),
  };
};

/**
Compiles a valid set of objects into a policy.

@param backendLabels - Labels of the host's own backend server. Rules that select backend servers apply only with them,
because the limits and the drain time of a backend server are enforced by the process on its host.
*/
export const compilePolicy = (objects: readonly DeclaredObject[], backendLabels?: Labels): Policy => {
  const services = objects.filter((object): object is Service => object.kind === 'Service').sort(byName);
  const requestKinds = groupByService(objects.filter((object): object is RequestKind => object.kind === 'RequestKind').sort(byName));
  const rules = groupByType(objects.filter((object): object is Rule => object.kind === 'Rule').sort(byName));
  const priorities = rules.priority.flatMap(spec => spec.priorities);
  return {
    priorityCount: priorities.length + 1,
    minimumShares: [...priorities.map(({minimumShare}) => minimumShare ?? 0), 0],
    treatments: new Map(services.map(service => [
      service.name,
      (requestKinds.get(service.name) ?? []).map(requestKind => resolveTreatment(rules, service, requestKind, backendLabels)),
    ])),
    drainMs: new Map(services.map(service => [
      service.name,
      rules.drain.find(spec => selects(spec.select, {service, backendLabels}))?.milliseconds ?? DEFAULT_DRAIN_MS,
    ])),
  };
};

/** Returns whether a path, without its query, matches a pattern. */
export const pathMatches = (pattern: string, path: string): boolean =>
  pattern.endsWith('*') ? path.startsWith(pattern.slice(0, -1)) : path === pattern;

/** Finds the treatment of a request by its path without the service segment and the query, or undefined when its service or request kind is not declared. */
export const findTreatment = (policy: Policy, service: string, method: string, path: string): Treatment | undefined =>
  policy.treatments.get(service)?.find(treatment =>
    treatment.methods.includes(method) && pathMatches(treatment.path, path));

/** Finds the treatment of a request kind by its name. */
export const findTreatmentByRequestKind = (policy: Policy, service: string, requestKind: string): Treatment | undefined =>
  policy.treatments.get(service)?.find(treatment => treatment.requestKind === requestKind);
