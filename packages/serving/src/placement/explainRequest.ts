/** Tells operators where a request or batch item would go now, and why, without sending it. */
import type { ResultName } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import type { Admission, AdmissionState } from '../admission/Admission.js';
import type { JobCache } from '../batch/JobCache.js';
import type { ConfigurationView } from '../configuration/ConfigurationView.js';
import type { Account, Route } from '../configuration/ServingConfiguration.js';
import { computeContentKeys, isRequestKey } from '../crashes/contentKeys.js';
import type { CrashGuard } from '../crashes/CrashGuard.js';
import type { HostIdentity } from '../fleet/HostIdentity.js';
import type { AccountRateLimiter } from '../rates/AccountRateLimiter.js';
import { findAllowedRegions, type AllowedRegions } from '../routing/allowedRegions.js';
import type { TargetChoice } from '../routing/chooseTarget.js';
import type { ChoiceExplanation, TargetRouter } from '../routing/TargetRouter.js';
import type { TargetExplanation } from './explainChoice.js';
import type { RequestSize } from './RequestSize.js';

/** A request as an operator describes it. */
export interface DescribedRequest {
  readonly host: string;
  readonly path: string;
  /** Name of the client account; if undefined, rate, share and regions of the account are not considered. */
  readonly account?: string | undefined;
  /** Undefined if its caller states none. */
  readonly size?: RequestSize | undefined;
  /** Version that began the stream which the request continues; undefined for a new request. */
  readonly version?: string | undefined;
  /** Ids of the parts of the prompt that other requests may contain too. */
  readonly sharedPromptParts?: readonly string[];
}

/** What an operator has named that does not exist. */
export type UnknownSubject = 'route' | 'account' | 'job' | 'configuration';

/** What would happen to a request or item. */
export type Outcome = 'sent' | 'waits' | 'refused';

/** What would happen at one service of the route. */
export interface ServiceExplanation {
  readonly service: string;
  readonly weight: number;
  readonly outcome: Outcome;
  /** Result code of the refusal. */
  readonly code?: ResultName;
  /** Queue of the host and share of the account; absent for items. */
  readonly admission?: AdmissionState;
  readonly targets: readonly TargetExplanation[];
}

/** Where a request would go, as one host sees it. */
export interface RequestExplanation {
  readonly kind: 'request';
  /** Name of the host that explains. */
  readonly observer: string;
  readonly route: string;
  readonly routeKind: string;
  readonly account: string | null;
  readonly configuration: number;
  /** Time since the configuration was confirmed as current. Unit: ms. */
  readonly configurationAgeMs: number;
  readonly outcome: Outcome;
  readonly code?: ResultName;
  /** Time after which the rate of the account, or the block of the content, allows the request. Unit: ms. */
  readonly allowedInMs?: number;
  /** Key of the blocked content. */
  readonly blockedContent?: string;
  /** Absent if any region will do. */
  readonly allowedRegions?: readonly string[];
  /** Tokens of the account's batch items that wait on the route, and their limit; 0 is no limit. */
  readonly waitingTokens?: { readonly used: number; readonly limit: number };
  readonly services: readonly ServiceExplanation[];
}

/** What decides where a request would go. */
export interface RequestExplanationSources {
  readonly identity: Pick<HostIdentity, 'name'>;
  readonly view: ConfigurationView;
  readonly router: Pick<TargetRouter, 'explain'>;
  readonly rates: Pick<AccountRateLimiter, 'predictWait'>;
  readonly admission: Pick<Admission, 'describe'>;
  readonly crashGuard: Pick<CrashGuard, 'findKnownBlock'>;
  readonly jobCache: Pick<JobCache, 'countWaitingTokens'>;
}

/** Result codes of refusals that no wait can avert, by the result of the choice. */
const refusalsByResult: ReadonlyMap<TargetChoice['kind'], ResultName> = new Map([
  ['forbidden', 'no-permitted-target'],
  ['none', 'no-target'],
]);

/** Outcomes in the order of preference: a service that can run the request is used, whichever one is drawn. */
const OUTCOMES: readonly Outcome[] = ['sent', 'waits', 'refused'];

type ServiceOutcome = Pick<ServiceExplanation, 'outcome' | 'code'>;

/** An item without a target waits, whatever the cause. */
const findItemOutcome = ({ result }: ChoiceExplanation): ServiceOutcome => ({
  outcome: result === 'target' ? 'sent' : 'waits',
});

const findOnlineOutcome = (
  { result, targets }: ChoiceExplanation,
  { ahead, shareRatio, onlyFreeSlots, wouldWait }: AdmissionState,
): ServiceOutcome => {
  const refusal = refusalsByResult.get(result);
  if (refusal) return { outcome: 'refused', code: refusal };
  const isPlaced =
    result === 'target' &&
    ahead === 0 &&
    (!onlyFreeSlots || targets.some(({ share, online, slots }) => share > 0 && online < slots));
  if (isPlaced) return { outcome: 'sent' };
  if (wouldWait) return { outcome: 'waits' };
  return { outcome: 'refused', code: shareRatio > 1 ? 'share-exceeded' : 'overloaded' };
};

const explainService = (
  service: string,
  weight: number,
  route: Route,
  account: Account | undefined,
  { size, version }: DescribedRequest,
  allowed: AllowedRegions | undefined,
  { router, admission }: RequestExplanationSources,
): ServiceExplanation => {
  const work = route.kind === 'batch' ? 'batch' : 'online';
  const choice = router.explain({ service, work, size, version, allowed });
  const { targets } = choice;
  if (work === 'batch') return { service, weight, ...findItemOutcome(choice), targets };
  const state = admission.describe({
    service,
    account,
    routePriority: route.priority,
    responseDeadline: performance.now() + route.objectiveMs,
    expectedWaitMs: choice.expectedWaitMs,
  });
  return { service, weight, ...findOnlineOutcome(choice, state), admission: state, targets };
};

/**
 * Finds an account by the name that an operator gives.
 *
 * @param view - the configuration
 * @param name - name of the account; undefined if none is given
 * @returns the account, if a name is given; an error if no account has it
 */
export const findNamedAccount = (
  { index }: ConfigurationView,
  name: string | undefined,
): Result<Account | undefined, UnknownSubject> => {
  if (name === undefined) return ok(undefined);
  const account = index?.configuration.accounts.find((each) => each.name === name);
  return account ? ok(account) : err('account');
};

/** Finds what refuses a request before a target is chosen, in the order of the checks. */
const findEarlyRefusal = (
  route: Route,
  account: Account | undefined,
  { path, sharedPromptParts = [] }: DescribedRequest,
  { view, rates, crashGuard }: RequestExplanationSources,
): Pick<RequestExplanation, 'outcome' | 'code' | 'allowedInMs' | 'blockedContent'> | undefined => {
  const isKeyed = !route.open && view.index!.configuration.accounts.length > 0;
  if (isKeyed && !view.canTrustKeys)
    return { outcome: 'refused', code: 'configuration-unconfirmed' };
  if (route.kind === 'batch') return undefined;
  const now = performance.now();
  const body = Buffer.alloc(0);
  const block = route.services
    .map(({ service }) =>
      computeContentKeys({ service, account: account?.name, path, sharedPromptParts, body }),
    )
    // Without the body, the key of the whole request is that of another one.
    .map((keys) => keys.filter((key) => !isRequestKey(key)))
    .map((keys) => crashGuard.findKnownBlock(keys, now))
    .find((found) => found !== undefined);
  if (block) {
    const allowedInMs = Math.round(block.until - now);
    const code = 'request-breaks-targets';
    return { outcome: 'refused', code, allowedInMs, blockedContent: block.key };
  }
  const waitMs = account ? rates.predictWait(account) : 0;
  return waitMs > 0
    ? { outcome: 'refused', code: 'rate-exceeded', allowedInMs: Math.round(waitMs) }
    : undefined;
};

/**
 * Explains where a request would go.
 *
 * @param request - the request
 * @param sources - state of this host, which is only read
 * @returns the explanation; an error if the configuration has no such route or account
 */
export const explainRequest = (
  request: DescribedRequest,
  sources: RequestExplanationSources,
): Result<RequestExplanation, UnknownSubject> => {
  const { view, identity, jobCache } = sources;
  const { index } = view;
  if (!index) return err('configuration');
  const route = index.findRoute(request.host, request.path);
  if (!route) return err('route');
  return findNamedAccount(view, request.account).map((account) => {
    const allowed = findAllowedRegions(route, account);
    const isDrawable = route.services.some(({ weight }) => weight > 0);
    const services = route.services.map(({ service, weight }) =>
      explainService(service, weight, route, account, request, allowed, sources),
    );
    const drawable = services.filter(({ weight }) => weight > 0 || !isDrawable);
    const outcome = OUTCOMES.find((each) => drawable.some((service) => service.outcome === each))!;
    const code = drawable.find((service) => service.outcome === outcome)?.code;
    return {
      kind: 'request',
      observer: identity.name,
      route: route.name,
      routeKind: route.kind,
      account: account?.name ?? null,
      configuration: index.configuration.version,
      configurationAgeMs: Math.round(view.age),
      ...(findEarlyRefusal(route, account, request, sources) ?? { outcome, ...(code && { code }) }),
      ...(allowed && { allowedRegions: [...allowed] }),
      ...(route.kind === 'batch' &&
        account && {
          waitingTokens: {
            used: jobCache.countWaitingTokens(account.name, route.name),
            limit: route.waitingTokens,
          },
        }),
      services,
    };
  });
};
