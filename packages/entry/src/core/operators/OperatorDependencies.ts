/** What the operators' interface needs. */
import type { Editor } from '@jacinthlug/control/edits/createEditor';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { Membership } from '@jacinthlug/control/Membership';
import type { Table } from '@jacinthlug/backing/Table';
import type { Metrics } from '@jacinthlug/catalog/Metrics';

/** What the operators' interface needs. */
export interface OperatorDependencies {
  /** Name of this host. */
  readonly name: string;
  readonly editor: Editor;
  readonly follower: ConfigurationFollower;
  readonly membership: Membership;
  readonly table: Table;
  readonly metrics: Metrics;
  /** Credential from which the secrets of keys are derived; the same on every entry host. */
  readonly fleetCredential: string;
  /** Wall-clock time, `Date.now` unless replaced. Unit: ms since 1970. */
  readonly wallNow?: () => number;
}
