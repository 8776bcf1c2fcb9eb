/** tRPC control procedures between the processes of the fleet. */
import { initTRPC, TRPCError } from '@trpc/server';
import {
  cancelNotice,
  configurationWatchRequest,
  crashReport,
  shareRequest,
  suspectNotice,
  type CancelNotice,
  type ConfigurationState,
  type ConfigurationWatchRequest,
  type CrashReport,
  type TargetLoadReport,
  type ShareResponse,
  type ShareRequest,
  type SuspectNotice,
} from './messages.js';

/** Handlers of the control procedures; a process omits those that it does not serve. */
export interface ControlHandlers {
  watchConfiguration(request: ConfigurationWatchRequest): Promise<ConfigurationState>;
  shareRates?(request: ShareRequest): Promise<ShareResponse>;
  reportLoad?(): Promise<TargetLoadReport>;
  cancelJob?(notice: CancelNotice): Promise<void>;
  /** Records suspects that an agent reports after a crash of its target. */
  addSuspects?(report: CrashReport): Promise<void>;
  /** Merges suspect records that another entry host changed. */
  learnSuspects?(notice: SuspectNotice): Promise<void>;
}

/** Context of a call, available to each procedure. */
export interface CallContext {
  /** Whether the call carried the fleet credential. */
  readonly fromPeer: boolean;
}

const trpc = initTRPC.context<CallContext>().create();

const peerProcedure = trpc.procedure.use(({ ctx, next }) => {
  if (!ctx.fromPeer) throw new TRPCError({ code: 'FORBIDDEN', message: 'fleet-credential-wrong' });
  return next();
});

const requireHandler = <Handler>(handler: Handler | undefined): Handler => {
  if (handler === undefined) {
    throw new TRPCError({ code: 'METHOD_NOT_SUPPORTED', message: 'not served by this role' });
  }
  return handler;
};

/**
 * Creates the router of a process.
 *
 * @param handlers - handlers of the procedures that the process serves
 * @returns the tRPC router
 */
export const createControlRouter = (handlers: ControlHandlers) =>
  trpc.router({
    configuration: trpc.router({
      watch: peerProcedure
        .input(configurationWatchRequest)
        .query(({ input }) => handlers.watchConfiguration(input)),
    }),
    rates: trpc.router({
      share: peerProcedure
        .input(shareRequest)
        .mutation(({ input }) => requireHandler(handlers.shareRates?.bind(handlers))(input)),
    }),
    load: trpc.router({
      report: peerProcedure.query(() => requireHandler(handlers.reportLoad?.bind(handlers))()),
    }),
    batch: trpc.router({
      cancelled: peerProcedure
        .input(cancelNotice)
        .mutation(({ input }) => requireHandler(handlers.cancelJob?.bind(handlers))(input)),
    }),
    suspects: trpc.router({
      add: peerProcedure
        .input(crashReport)
        .mutation(({ input }) => requireHandler(handlers.addSuspects?.bind(handlers))(input)),
      learn: peerProcedure
        .input(suspectNotice)
        .mutation(({ input }) => requireHandler(handlers.learnSuspects?.bind(handlers))(input)),
    }),
  });

/** Type of the router, for clients. */
export type ControlRouter = ReturnType<typeof createControlRouter>;
