/** `jujubewell describe`. */
import {Command, Option} from 'clipanion';
import {
  lastChange, objectKey, type ObjectChange, type Configuration,
} from '../../objects/configuration.js';
import {suggestCorrection} from '../../objects/suggestion.js';
import {compilePolicy, selects, type Treatment} from '../../objects/policy.js';
import type {
  DeclaredObject, RequestKind, Rule, Service,
} from '../../objects/schema.js';
import {fail, ok, type Result} from '../../shared/result.js';
import {PlatformCommand} from '../command.js';
import {commandError, type CommandError} from '../error.js';
import {readConfiguration} from '../stored-configuration.js';
import {formatTable, formatTime, type Output} from '../output.js';

type Description = {object: DeclaredObject; lastChange: ObjectChange; treatments: Treatment[]; covers: string[]};

const findTreatments = (configuration: Configuration, object: DeclaredObject): Treatment[] => {
  const {treatments} = compilePolicy(configuration.objects);
  switch (object.kind) {
    case 'Service': {
      return [...treatments.get(object.name) ?? []];
    }

    case 'RequestKind': {
      return treatments.get(object.spec.service)?.filter(({requestKind}) => requestKind === object.name) ?? [];
    }

    case 'Rule': {
      return [];
    }
  }
};

/** Lists the request kinds, or for drains the services, that the selectors of a rule match. */
const listSelected = (configuration: Configuration, rule: Rule): string[] => {
  const services = configuration.objects.filter((object): object is Service => object.kind === 'Service');
  const requestKinds = configuration.objects.filter((object): object is RequestKind => object.kind === 'RequestKind');
  const {spec} = rule;
  const selections = spec.type === 'priority' ? spec.priorities.map(({select}) => select) : [spec.select];
  const declared = selections.map(select => ({...select, backendServers: undefined}));
  return services.flatMap(service => spec.type === 'drain'
    ? (declared.some(select => selects(select, {service})) ? [service.name] : [])
    : requestKinds
      .filter(requestKind => requestKind.spec.service === service.name && declared.some(select => selects(select, {service, requestKind})))
      .map(requestKind => `${service.name}/${requestKind.name}`));
};

const renderTreatments = (treatments: readonly Treatment[]): string => formatTable(
  ['REQUEST KIND', 'METHODS', 'PATH', 'PRIORITY', 'IDEMPOTENT', 'DEADLINE', 'RETRIES', 'QUEUE', 'CONCURRENCY', 'GROUPS'],
  treatments.map(treatment => [
    `${treatment.service}/${treatment.requestKind}`,
    treatment.methods.join(','),
    treatment.path,
    `${treatment.priority} ${treatment.priorityName}`,
    treatment.idempotent ? 'yes' : 'no',
    `${treatment.deadlineMs} ms`,
    String(treatment.retryBudget),
    treatment.queueMs === undefined ? 'by deadline' : `${treatment.queueMs} ms`,
    treatment.concurrency === undefined ? 'slots' : String(treatment.concurrency),
    [...treatment.weights].map(([group, weight]) => `${group}=${weight}`).join(','),
  ]),
);

const formatDescription = ({object, lastChange: change, treatments, covers}: Description): string => [
  `${objectKey(object)}, last changed by ${change.author}${change.at === 0 ? '' : ` at ${formatTime(change.at)}`} in sequence ${change.sequence}`,
  JSON.stringify(object, null, 2),
  ...(treatments.length > 0 ? [renderTreatments(treatments)] : []),
  ...(object.kind === 'Rule' ? [`selects: ${covers.length === 0 ? 'nothing' : covers.join(', ')}`] : []),
].join('\n\n');

/** Shows one object and its effect. */
export class DescribeCommand extends PlatformCommand {
  static override paths = [['describe']];

  static override usage = Command.Usage({
    category: 'Configuration',
    description: 'Show one object and its effect.',
    details: 'For services and request kinds, shows the settings that result from all rules; for rules, what their selectors match.',
    examples: [['Show how closure bookings are treated', '$0 describe RequestKind/closure-booking']],
  });

  key = Option.String({name: 'kind/name'});

  protected async run(): Promise<Result<Output, CommandError>> {
    return this.withPlatform(async client => {
      const stored = await readConfiguration(client);
      if (stored.kind === 'error') {
        return stored;
      }

      const {configuration} = stored.value;
      const object = configuration.objects.find(candidate => objectKey(candidate) === this.key);
      if (object === undefined) {
        const known = configuration.objects.map(candidate => objectKey(candidate));
        return fail(commandError('failed', `there is no \`${this.key}\`; ${suggestCorrection(this.key, known) ?? 'the configuration is empty'}`));
      }

      const description: Description = {
        object,
        lastChange: lastChange(configuration, this.key),
        treatments: findTreatments(configuration, object),
        covers: object.kind === 'Rule' ? listSelected(configuration, object) : [],
      };
      const treatments = description.treatments.map(treatment => ({...treatment, weights: Object.fromEntries(treatment.weights)}));
      return ok({data: {...description, treatments}, text: formatDescription(description)});
    });
  }
}
