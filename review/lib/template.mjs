// Fills in a template of settings, as the users' page on deployment describes it.

/** Fills in the placeholders and sections of a template. */
export function fillTemplate(text, fields) {
  return fillSections(text, [fields]).replace(/\{\{([^{}]+)\}\}/g, (_, name) =>
    readValue(name, [fields]),
  );
}

function fillSections(text, scopes) {
  return text.replace(/\{\{([#^])([^{}]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g, (_, sign, name, body) => {
    const value = find(name, scopes);
    const isEmpty = value === undefined || value === false;
    if (sign === '^') return isEmpty ? fillPlain(body, scopes) : '';
    if (isEmpty) return '';
    const entries = Array.isArray(value) ? value : [value];
    return entries
      .map((entry, index) => {
        const comma = index === entries.length - 1 ? '' : ',';
        return fillPlain(body.replaceAll('{{,}}', comma), [...scopes, entry]);
      })
      .join('');
  });
}

function fillPlain(text, scopes) {
  return text.replace(/\{\{([^{}]+)\}\}/g, (_, name) => readValue(name, scopes));
}

function readValue(placeholder, scopes) {
  const [name, form] = placeholder.split('|');
  const value = find(name, scopes);
  if (form === 'json') return JSON.stringify(value);
  if (value === undefined) return '';
  return Array.isArray(value) ? value.join(',') : String(value);
}

function find(name, scopes) {
  if (name === '.') return scopes.at(-1);
  for (const scope of scopes.toReversed()) {
    let value = scope;
    for (const part of name.split('.')) value = value?.[part];
    if (value !== undefined) return value;
  }
  return undefined;
}
