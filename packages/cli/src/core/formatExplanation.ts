/** Formats explanations of placements as text. */
import { formatColumns } from './formatText.js';
import type {
  Explanation,
  JobExplanation,
  RequestExplanation,
  ServiceExplanation,
} from './placementResponses.js';

const TARGET_HEADING = [
  'TARGET',
  'FAILURE DOMAIN',
  'VERSION',
  'SHARE',
  'LEFT OUT',
  'SLOTS',
  'ONLINE',
  'BATCH',
  'WAIT',
];

const ITEM_HEADING = ['ITEM', 'WAITS FOR', 'TARGET', 'TIME', 'EVENTS', 'FAILURES'];

const formatMs = (ms: number | undefined): string =>
  ms === undefined ? '' : `${Math.round(ms)} ms`;

const formatOutcome = ({ outcome, code }: Pick<ServiceExplanation, 'outcome' | 'code'>): string =>
  code === undefined ? outcome : `${outcome} (${code})`;

const formatRegions = (regions: readonly string[]): string =>
  `allowed regions: ${regions.join(', ') || 'none'}`;

const formatAdmission = (admission: NonNullable<ServiceExplanation['admission']>): string => {
  const { policy, ahead, shareRatio, predictedWaitMs } = admission;
  const share = shareRatio > 1 ? `${shareRatio.toFixed(2)} of its share` : 'within its share';
  const wait = predictedWaitMs === undefined ? '' : `, room in ${formatMs(predictedWaitMs)}`;
  return `  admission ${policy}: ${ahead} ahead${wait}; account ${share}`;
};

const formatService = (service: ServiceExplanation): string[] => {
  const { targets, admission, weight } = service;
  const rows = targets.map((target) => [
    target.target,
    target.failureDomain,
    target.version,
    `${Math.round(target.share * 100)}%`,
    target.leftOut ?? '',
    String(target.slots),
    String(target.online),
    String(target.batch),
    formatMs(target.waitMs),
  ]);
  return [
    `service ${service.service}, weight ${weight}: ${formatOutcome(service)}`,
    ...(admission ? [formatAdmission(admission)] : []),
    ...(rows.length > 0 ? [formatColumns([TARGET_HEADING, ...rows])] : ['  no targets']),
  ];
};

const formatRequest = (request: RequestExplanation): string[] => {
  const { route, routeKind, account, configuration, allowedInMs, blockedContent } = request;
  const { allowedRegions, waitingTokens } = request;
  const cause = blockedContent === undefined ? '' : `, content ${blockedContent}`;
  const allowed = allowedInMs === undefined ? '' : `, allowed in ${formatMs(allowedInMs)}`;
  return [
    `host ${request.observer}: ${formatOutcome(request)}${cause}${allowed}`,
    `route ${route} (${routeKind}), configuration ${configuration}`,
    account === null
      ? 'no account stated: its rate, share and regions are not considered'
      : `account ${account}`,
    ...(allowedRegions ? [formatRegions(allowedRegions)] : []),
    ...(waitingTokens
      ? [`waiting tokens: ${waitingTokens.used} of ${waitingTokens.limit || 'any number'}`]
      : []),
    ...request.services.flatMap(formatService),
  ];
};

const formatHolder = ({ holder }: JobExplanation): string => {
  if (!holder) return 'held by no host: another one takes it over';
  if (holder.isObserver) return `held by this host, ${holder.host}`;
  return holder.isMember
    ? `held by ${holder.host}: ask that host about its items`
    : `held by ${holder.host}, which is no member of the fleet: another one takes it over`;
};

const formatItems = ({ items = [], omittedItems }: JobExplanation): string[] => {
  if (items.length === 0) return [];
  const rows = items.map(({ item, cause, target = '', runningMs, waitMs, events, failures }) => [
    item,
    cause,
    target,
    formatMs(runningMs ?? waitMs),
    String(events),
    String(failures),
  ]);
  return [
    formatColumns([ITEM_HEADING, ...rows]),
    ...(omittedItems === undefined ? [] : [`and ${omittedItems} more items`]),
  ];
};

const formatJob = (job: JobExplanation): string[] => [
  `host ${job.observer}: job ${job.job} of account ${job.account} is ${job.state}, ${job.resultCount} of ${job.itemCount} results`,
  `route ${job.route}`,
  ...(job.state === 'open' ? [formatHolder(job)] : []),
  ...(job.dueInMs === undefined ? [] : [`due in ${formatMs(job.dueInMs)}`]),
  ...(job.allowedRegions ? [formatRegions(job.allowedRegions)] : []),
  ...formatItems(job),
  ...job.services.flatMap(formatService),
];

/**
 * Formats an explanation.
 *
 * @param explanation - explanation of one host
 * @returns lines of text
 */
export const formatExplanation = (explanation: Explanation): string =>
  (explanation.kind === 'request' ? formatRequest(explanation) : formatJob(explanation)).join('\n');
