/** Labels of metrics: a bounded number of names, the rest under one label. */

/** Label for all names beyond the bound. */
export const OTHER_LABEL = 'other';

/** Creates a function that returns the label of a name; the first `namesMax` names get their own. Characters that would end a label are replaced. */
export const createBoundedNames = (namesMax: number): ((name: string) => string) => {
  const labels = new Map<string, string>();
  return name => {
    const known = labels.get(name);
    if (known !== undefined) {
      return known;
    }

    if (labels.size >= namesMax) {
      return OTHER_LABEL;
    }

    const label = name.replaceAll(/["\\\p{Cc}]/gu, '_');
    labels.set(name, label);
    return label;
  };
};
