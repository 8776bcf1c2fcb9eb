/** Stand-in for the table service: the DynamoDB JSON protocol, in memory. */
import {
  startStandinServer,
  type Standin,
  type StandinAddress,
  type StandinReply,
  type StandinRequest,
} from '../core/startStandinServer.js';
import type { AttributeValue, Item } from './attributeValues.js';
import { holds, type Placeholders } from './expressions.js';
import { invalid, ServiceError } from './ServiceError.js';
import { TableRows, type KindedWrite, type WriteKind, type WriteOrder } from './TableRows.js';

/** Address and limits of the stand-in. */
export interface TableStandinOptions extends StandinAddress {
  /** Most rows that one page of a query has. */
  readonly pageRows?: number;
}

interface GetOrder {
  readonly TableName: string;
  readonly Key: Item;
}

interface QueryOrder extends Placeholders {
  readonly TableName: string;
  readonly KeyConditionExpression: string;
  readonly Limit?: number;
  readonly ScanIndexForward?: boolean;
  readonly ExclusiveStartKey?: Item;
}

interface TransactOrder {
  readonly TransactItems: readonly Partial<Record<WriteKind, WriteOrder>>[];
  readonly ClientRequestToken?: string;
}

type Operation = (rows: TableRows, order: unknown) => unknown;

const DEFAULT_PAGE_ROWS = 1000;
const TARGET_PREFIX = 'DynamoDB_20120810.';
const CONTENT_TYPE = 'application/x-amz-json-1.0';

const kindedWrites = ({ TransactItems }: TransactOrder): KindedWrite[] =>
  TransactItems.map((item) => {
    const [entry] = Object.entries(item) as [WriteKind, WriteOrder][];
    if (!entry) throw invalid('an empty member of a transaction');
    return { kind: entry[0], order: entry[1] };
  });

const writeOperation =
  (kind: WriteKind): Operation =>
  (rows, order) => {
    rows.write({ kind, order: order as WriteOrder });
    return {};
  };

/** Value that a key condition compares the partition key with. */
const partitionKeyOf = (order: QueryOrder): AttributeValue => {
  const [, name = '', value = ''] = /(#?\w+)\s*=\s*(:\w+)/.exec(order.KeyConditionExpression) ?? [];
  const attribute = order.ExpressionAttributeNames?.[name] ?? name;
  const key = order.ExpressionAttributeValues?.[value];
  if (attribute !== 'pk' || !key) throw invalid('a query names one partition');
  return key;
};

const afterStart = (items: readonly Item[], start: Item | undefined, forward: boolean): Item[] => {
  if (!start) return [...items];
  const from = Buffer.from(String(start.sk?.S));
  return items.filter((item) => {
    const order = Buffer.compare(Buffer.from(String(item.sk?.S)), from);
    return forward ? order > 0 : order < 0;
  });
};

const query = (rows: TableRows, order: QueryOrder, pageRows: number): unknown => {
  const forward = order.ScanIndexForward ?? true;
  const sorted = rows.sorted(order.TableName, partitionKeyOf(order));
  const found = (forward ? sorted : sorted.reverse()).filter((item) =>
    holds(order.KeyConditionExpression, order, item),
  );
  const rest = afterStart(found, order.ExclusiveStartKey, forward);
  const page = rest.slice(0, Math.min(order.Limit ?? pageRows, pageRows));
  const last = page.at(-1);
  const hasMore = last !== undefined && page.length < rest.length;
  return {
    Items: page,
    Count: page.length,
    ...(hasMore ? { LastEvaluatedKey: { pk: last.pk, sk: last.sk } } : {}),
  };
};

const operationsFor = (pageRows: number): Readonly<Record<string, Operation>> => ({
  GetItem: (rows, order) => {
    const { TableName, Key } = order as GetOrder;
    const item = rows.get(TableName, Key);
    return item ? { Item: item } : {};
  },
  PutItem: writeOperation('Put'),
  UpdateItem: writeOperation('Update'),
  DeleteItem: writeOperation('Delete'),
  Query: (rows, order) => query(rows, order as QueryOrder, pageRows),
  TransactWriteItems: (rows, order) => {
    const transaction = order as TransactOrder;
    rows.transact(kindedWrites(transaction), transaction.ClientRequestToken);
    return {};
  },
});

const readOperations: ReadonlySet<string> = new Set(['GetItem', 'Query']);

const operationName = ({ headers }: StandinRequest): string =>
  String(headers['x-amz-target']).replace(TARGET_PREFIX, '');

const errorReply = ({ type, message, members, status }: ServiceError): StandinReply => ({
  status,
  headers: { 'content-type': CONTENT_TYPE },
  body: JSON.stringify({
    __type: `com.amazonaws.dynamodb.v20120810#${type}`,
    message,
    ...members,
  }),
});

/** Answer of a transaction that met another one on the same rows. */
const contention = new ServiceError(
  'TransactionCanceledException',
  'Transaction cancelled, please refer cancellation reasons for specific reasons [TransactionConflict]',
  { CancellationReasons: [{ Code: 'TransactionConflict', Message: 'Transaction is ongoing' }] },
);

/** Names of the exceptions of the fault `refuse`, by HTTP status. */
const refusalNames = new Map([
  [400, 'ProvisionedThroughputExceededException'],
  [500, 'InternalServerError'],
  [503, 'ServiceUnavailable'],
]);

/**
 * Starts the stand-in for the table service. Every table name exists, with keys `pk` and `sk`.
 *
 * @param options - address and limits
 * @returns the running stand-in
 */
export const startTableStandin = async (options: TableStandinOptions): Promise<Standin> => {
  const rows = new TableRows();
  const operations = operationsFor(options.pageRows ?? DEFAULT_PAGE_ROWS);
  return startStandinServer(options, {
    isWrite: (request) => !readOperations.has(operationName(request)),
    arrive(request) {
      if (operationName(request) !== 'TransactWriteItems') return () => undefined;
      const { ClientRequestToken } = JSON.parse(request.body.toString()) as TransactOrder;
      return ClientRequestToken === undefined ? () => undefined : rows.arrive(ClientRequestToken);
    },
    handle(request) {
      const operation = operations[operationName(request)];
      try {
        if (!operation) throw invalid(`no operation ${operationName(request)}`);
        const answer = operation(rows, JSON.parse(request.body.toString()));
        return {
          status: 200,
          headers: { 'content-type': CONTENT_TYPE },
          body: JSON.stringify(answer),
        };
      } catch (fault) {
        if (fault instanceof ServiceError) return errorReply(fault);
        throw fault;
      }
    },
    refuse(wanted) {
      if (wanted === 'contention') return errorReply(contention);
      const status = wanted === true ? 400 : wanted;
      const type = refusalNames.get(status) ?? 'UnknownError';
      return errorReply(new ServiceError(type, 'refused', {}, status));
    },
  });
};
