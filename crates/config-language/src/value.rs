//! Values, from "anything" down to written-out ones, and how two become one.

use std::collections::{BTreeMap, HashMap};

use serde_json::{json, Map, Value as Json};

use crate::lex::Literal;
use crate::problem::Problem;
use crate::syntax::{Field, Op, Span};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Bool,
    Int,
    Number,
    Text,
    Duration,
    Size,
}

impl Kind {
    pub fn named(name: &str) -> Option<Kind> {
        Some(match name {
            "bool" => Kind::Bool,
            "int" => Kind::Int,
            "number" => Kind::Number,
            "string" => Kind::Text,
            "duration" => Kind::Duration,
            "size" => Kind::Size,
            _ => return None,
        })
    }

    fn name(self) -> &'static str {
        match self {
            Kind::Bool => "bool",
            Kind::Int => "int",
            Kind::Number => "number",
            Kind::Text => "string",
            Kind::Duration => "duration",
            Kind::Size => "size",
        }
    }

    fn of(literal: &Literal) -> Option<Kind> {
        Some(match literal {
            Literal::Null => return None,
            Literal::Bool(_) => Kind::Bool,
            Literal::Int(_) => Kind::Int,
            Literal::Float(_) => Kind::Number,
            Literal::Text(_) => Kind::Text,
            Literal::Duration(_) => Kind::Duration,
            Literal::Size(_) => Kind::Size,
        })
    }

    /// The narrower of two kinds that fit together.
    fn meet(self, other: Kind) -> Option<Kind> {
        match (self, other) {
            (a, b) if a == b => Some(a),
            (Kind::Int, Kind::Number) | (Kind::Number, Kind::Int) => Some(Kind::Int),
            _ => None,
        }
    }

    /// Whether a bound of that kind limits values of this one.
    fn limited_by(self, bound: Kind) -> bool {
        self.meet(bound).is_some()
    }
}

#[derive(Clone, Debug)]
pub struct Value {
    pub span: Span,
    pub what: Shape,
}

#[derive(Clone, Debug)]
pub enum Shape {
    Any,
    /// A kind with bounds; no kind where only bounds of one are known.
    Limited(Option<Kind>, Vec<(Op, Literal)>),
    Literal(Literal),
    Struct {
        fields: Vec<(String, Slot)>,
        closed: bool,
    },
    List(Vec<Value>, Option<Box<Value>>),
    Or(Vec<(bool, Value)>),
    /// What a problem was already told for.
    Bad,
}

#[derive(Clone, Debug)]
pub struct Slot {
    pub optional: bool,
    pub value: Value,
}

impl Value {
    pub fn new(span: Span, what: Shape) -> Value {
        Value { span, what }
    }

    fn bad(&self) -> bool {
        matches!(self.what, Shape::Bad)
    }
}

pub fn shown(literal: &Literal) -> String {
    let unit = |value: i64, units: &[(&str, i64)]| {
        let (name, size) = units.iter().find(|(_, size)| value % size == 0).copied().unwrap_or(("", 1));
        format!("{}{name}", value / size)
    };
    match literal {
        Literal::Null => "null".into(),
        Literal::Bool(b) => b.to_string(),
        Literal::Int(i) => i.to_string(),
        Literal::Float(f) => f.to_string(),
        Literal::Text(t) => format!("{t:?}"),
        Literal::Duration(d) => unit(*d, &[("s", 1_000_000), ("ms", 1_000), ("us", 1)]),
        Literal::Size(s) => unit(*s, &[("GiB", 1 << 30), ("MiB", 1 << 20), ("KiB", 1 << 10), ("B", 1)]),
    }
}

/// What a value asks for, in words.
pub fn expected(value: &Value) -> String {
    match &value.what {
        Shape::Any | Shape::Bad => "a value".into(),
        Shape::Literal(literal) => shown(literal),
        Shape::Limited(kind, bounds) => {
            let kind = kind.map(|k| k.name().to_string());
            let bounds = bounds.iter().map(|(op, l)| format!("{}{}", op.sign(), shown(l)));
            kind.into_iter().chain(bounds).collect::<Vec<_>>().join(" & ")
        }
        Shape::Struct { .. } => "a struct".into(),
        Shape::List(..) => "a list".into(),
        Shape::Or(alternatives) => {
            let texts = alternatives.iter().map(|(_, v)| expected(v));
            texts.collect::<Vec<_>>().join(" or ")
        }
    }
}

fn order(a: &Literal, b: &Literal) -> Option<std::cmp::Ordering> {
    let number = |l: &Literal| match l {
        Literal::Int(i) => Some(*i as f64),
        Literal::Float(f) => Some(*f),
        _ => None,
    };
    match (a, b) {
        (Literal::Duration(a), Literal::Duration(b)) | (Literal::Size(a), Literal::Size(b)) => Some(a.cmp(b)),
        (Literal::Text(a), Literal::Text(b)) => Some(a.cmp(b)),
        (Literal::Bool(a), Literal::Bool(b)) => Some(a.cmp(b)),
        (Literal::Null, Literal::Null) => Some(std::cmp::Ordering::Equal),
        _ => number(a)?.partial_cmp(&number(b)?),
    }
}

fn holds(literal: &Literal, (op, bound): &(Op, Literal)) -> bool {
    let Some(order) = order(literal, bound) else { return *op == Op::Not };
    match op {
        Op::Over => order.is_gt(),
        Op::Least => order.is_ge(),
        Op::Under => order.is_lt(),
        Op::Most => order.is_le(),
        Op::Not => order.is_ne(),
    }
}

/// Makes one value of two. Problems are told at the place of `b`, the more particular one.
pub fn unify(a: &Value, b: &Value, problems: &mut Vec<Problem>) -> Value {
    if a.bad() || b.bad() {
        return Value::new(b.span.clone(), Shape::Bad);
    }
    let made = |what| Value::new(b.span.clone(), what);
    match (&a.what, &b.what) {
        (Shape::Any, _) => b.clone(),
        (_, Shape::Any) => made(a.what.clone()),
        (Shape::Or(alternatives), _) => choose(alternatives, b, false, a, problems),
        (_, Shape::Or(alternatives)) => choose(alternatives, a, true, a, problems),
        (Shape::Literal(x), Shape::Literal(y)) if order(x, y).is_some_and(|o| o.is_eq()) => b.clone(),
        (Shape::Limited(kind, bounds), Shape::Literal(literal))
        | (Shape::Literal(literal), Shape::Limited(kind, bounds)) => {
            let fits = kind.is_none_or(|k| Kind::of(literal).is_some_and(|l| l.meet(k) == Some(l)));
            if fits && bounds.iter().all(|bound| holds(literal, bound)) {
                return made(Shape::Literal(literal.clone()));
            }
            let what = if fits {
                format!("{} is out of bounds", shown(literal))
            } else {
                let kind = Kind::of(literal).map_or("null", Kind::name);
                format!("{} is of type {kind}", shown(literal))
            };
            let other = if matches!(a.what, Shape::Literal(_)) { b } else { a };
            problems.push(Problem::new(b.span.clone(), what, expected(other)));
            made(Shape::Bad)
        }
        (Shape::Limited(x, first), Shape::Limited(y, second)) => {
            let kind = match (x, y) {
                (Some(x), Some(y)) => match x.meet(*y) {
                    Some(kind) => Some(kind),
                    None => return clash(a, b, problems),
                },
                (x, y) => x.or(*y),
            };
            let bounds: Vec<_> = first.iter().chain(second).cloned().collect();
            let strange =
                |l: &Literal| kind.zip(Kind::of(l)).is_some_and(|(kind, bound)| !kind.limited_by(bound));
            if bounds.iter().any(|(_, l)| strange(l)) {
                return clash(a, b, problems);
            }
            made(Shape::Limited(kind, bounds))
        }
        (Shape::Struct { .. }, Shape::Struct { .. }) => join(a, b, problems),
        (Shape::List(..), Shape::List(..)) => join_lists(a, b, problems),
        _ => clash(a, b, problems),
    }
}

fn clash(a: &Value, b: &Value, problems: &mut Vec<Problem>) -> Value {
    let what = format!("{} does not fit", expected(b));
    problems.push(Problem::new(b.span.clone(), what, expected(a)));
    Value::new(b.span.clone(), Shape::Bad)
}

/// Keeps the alternatives that fit the other value. If none does, the one that came nearest is explained.
fn choose(
    alternatives: &[(bool, Value)],
    other: &Value,
    other_first: bool,
    a: &Value,
    problems: &mut Vec<Problem>,
) -> Value {
    let (mut fitting, mut nearest): (Vec<(bool, Value)>, Option<Vec<Problem>>) = (vec![], None);
    for (default, alternative) in alternatives {
        let mut trouble = Vec::new();
        let made = if other_first {
            unify(other, alternative, &mut trouble)
        } else {
            unify(alternative, other, &mut trouble)
        };
        if trouble.is_empty() {
            fitting.push((*default, made));
        } else if nearest.as_ref().is_none_or(|n| trouble.len() < n.len()) {
            nearest = Some(trouble);
        }
    }
    let span = if other_first { a.span.clone() } else { other.span.clone() };
    if fitting.len() == 1 {
        let (_, only) = fitting.remove(0);
        return Value::new(span, only.what);
    }
    if !fitting.is_empty() {
        return Value::new(span, Shape::Or(fitting));
    }
    // A bound with a default beside it: what is wrong with the bound says all.
    let mut open = alternatives.iter().filter(|(_, v)| !matches!(v.what, Shape::Literal(_)));
    if let (Some((_, only)), None, true) = (open.next(), open.next(), alternatives.iter().any(|(d, _)| *d)) {
        let (a, b) = if other_first { (other, only) } else { (only, other) };
        unify(a, b, problems);
        return Value::new(span, Shape::Bad);
    }
    let structs = alternatives.iter().all(|(_, v)| matches!(v.what, Shape::Struct { .. }));
    if structs && matches!(other.what, Shape::Struct { .. }) {
        problems.extend(nearest.unwrap_or_default());
    } else {
        let all = Value::new(span.clone(), Shape::Or(alternatives.to_vec()));
        let what = format!("{} does not fit", expected(other));
        problems.push(Problem::new(span.clone(), what, expected(&all)));
    }
    Value::new(span, Shape::Bad)
}

fn join(a: &Value, b: &Value, problems: &mut Vec<Problem>) -> Value {
    let (
        Shape::Struct { fields: first, closed: a_closed },
        Shape::Struct { fields: second, closed: b_closed },
    ) = (&a.what, &b.what)
    else {
        return clash(a, b, problems);
    };
    let names = |fields: &[(String, Slot)]| fields.iter().map(|(n, _)| n.clone()).collect::<Vec<_>>();
    let mut check = |closed: bool, known: &[(String, Slot)], given: &[(String, Slot)]| {
        for (name, slot) in given.iter().filter(|_| closed) {
            if !Field::hidden(name) && !known.iter().any(|(k, _)| k == name) {
                let known = names(known);
                let near = nearest(name, &known);
                let hint = near.map_or(String::new(), |n| format!("; did you mean {n}?"));
                let what = format!("{name} is no field here{hint}");
                let shown = known.into_iter().filter(|n| !Field::hidden(n)).collect::<Vec<_>>();
                let expected = format!("one of {}", shown.join(", "));
                // What the program's definitions say has no place in the file.
                let span = if slot.value.span.end > 0 { &slot.value.span } else { &b.span };
                problems.push(Problem::new(span.clone(), what, expected));
            }
        }
    };
    check(*a_closed, first, second);
    check(*b_closed, second, first);
    let mut fields = first.clone();
    for (name, slot) in second {
        let Some((_, there)) = fields.iter_mut().find(|(n, _)| n == name) else {
            fields.push((name.clone(), slot.clone()));
            continue;
        };
        there.optional &= slot.optional;
        there.value = unify(&there.value, &slot.value, problems);
    }
    Value::new(b.span.clone(), Shape::Struct { fields, closed: *a_closed || *b_closed })
}

fn join_lists(a: &Value, b: &Value, problems: &mut Vec<Problem>) -> Value {
    let (Shape::List(first, a_rest), Shape::List(second, b_rest)) = (&a.what, &b.what) else {
        return clash(a, b, problems);
    };
    let mut items = Vec::new();
    for place in 0..first.len().max(second.len()) {
        let x = first.get(place).or(a_rest.as_deref());
        let y = second.get(place).or(b_rest.as_deref());
        match (x, y) {
            (Some(x), Some(y)) => items.push(unify(x, y, problems)),
            _ => {
                let expected = if x.is_none() {
                    format!("at most {}", first.len())
                } else {
                    format!("at least {}", first.len())
                };
                let what = format!("the list has {} elements", second.len());
                problems.push(Problem::new(b.span.clone(), what, expected));
                break;
            }
        }
    }
    let rest = match (a_rest, b_rest) {
        (Some(x), Some(y)) => Some(Box::new(unify(x, y, problems))),
        _ => None,
    };
    Value::new(b.span.clone(), Shape::List(items, rest))
}

/// The known name that is at most two letters away.
fn nearest<'a>(name: &str, known: &'a [String]) -> Option<&'a String> {
    let distance = |a: &str, b: &str| {
        let (a, b): (Vec<_>, Vec<_>) = (a.chars().collect(), b.chars().collect());
        let mut row: Vec<usize> = (0..=b.len()).collect();
        for (i, x) in a.iter().enumerate() {
            let mut corner = std::mem::replace(&mut row[0], i + 1);
            for (j, y) in b.iter().enumerate() {
                let cost = corner + usize::from(x != y);
                corner = row[j + 1];
                row[j + 1] = cost.min(row[j] + 1).min(corner + 1);
            }
        }
        row[b.len()]
    };
    known.iter().map(|k| (distance(name, k), k)).filter(|(d, _)| *d <= 2).min().map(|(_, k)| k)
}

/// Where each value stands in the file, by its path.
pub type Places = HashMap<String, Span>;

/// The value written out as JSON, or every place where something is still open.
pub fn export(value: &Value) -> Result<(Json, Places), Vec<Problem>> {
    let (mut problems, mut places) = (Vec::new(), BTreeMap::new());
    let json = write_out(value, "", &value.span, &mut places, &mut problems);
    if problems.is_empty() {
        Ok((json, places.into_iter().collect()))
    } else {
        Err(problems)
    }
}

fn write_out(
    value: &Value,
    path: &str,
    around: &Span,
    places: &mut BTreeMap<String, Span>,
    problems: &mut Vec<Problem>,
) -> Json {
    places.insert(path.to_string(), value.span.clone());
    match &value.what {
        Shape::Literal(literal) => match literal {
            Literal::Null => Json::Null,
            Literal::Bool(b) => json!(b),
            Literal::Int(i) | Literal::Duration(i) | Literal::Size(i) => json!(i),
            Literal::Float(f) => json!(f),
            Literal::Text(t) => json!(t),
        },
        Shape::Struct { fields, .. } => {
            let mut map = Map::new();
            for (name, slot) in fields.iter().filter(|(name, _)| !Field::hidden(name)) {
                if slot.optional {
                    continue;
                }
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                let before = problems.len();
                let json = write_out(&slot.value, &path, &value.span, places, problems);
                // What is missing is told where it should stand, with its name.
                for problem in problems[before..].iter_mut().filter(|p| p.what == OPEN) {
                    problem.what = format!("{name} has no value");
                    problem.span = value.span.clone();
                }
                map.insert(name.clone(), json);
            }
            Json::Object(map)
        }
        Shape::List(items, _) => {
            let items = items.iter().enumerate();
            let write = |(i, v): (usize, &Value)| {
                write_out(v, &format!("{path}[{i}]"), &value.span, places, problems)
            };
            Json::Array(items.map(write).collect())
        }
        Shape::Or(alternatives) => match alternatives.iter().find(|(default, _)| *default) {
            Some((_, value)) => write_out(value, path, around, places, problems),
            None => open(value, around, problems),
        },
        Shape::Any | Shape::Limited(..) => open(value, around, problems),
        Shape::Bad => Json::Null,
    }
}

/// Stands for a missing value until its field's name is known.
const OPEN: &str = "a value is missing";

fn open(value: &Value, around: &Span, problems: &mut Vec<Problem>) -> Json {
    problems.push(Problem::new(around.clone(), OPEN, expected(value)));
    Json::Null
}

/// Typed values as text again, with the units that the form asks for.
pub fn print(json: &Json, form: &Value) -> String {
    let unit = match &form.what {
        Shape::Or(alternatives) => return print(json, fitting(json, alternatives)),
        Shape::Limited(Some(Kind::Duration), _) => "us",
        Shape::Limited(Some(Kind::Size), _) => "B",
        _ => "",
    };
    match (json, &form.what) {
        (Json::Object(map), Shape::Struct { fields, .. }) => {
            let known = |name: &str| fields.iter().find(|(n, _)| n == name).map(|(_, s)| &s.value);
            let given = map.iter().filter(|(_, v)| !v.is_null());
            let lines = given.filter_map(|(name, v)| Some(format!("{name}: {}", print(v, known(name)?))));
            format!("{{{}}}", lines.collect::<Vec<_>>().join(", "))
        }
        (Json::Array(items), Shape::List(forms, rest)) => {
            let any = Value::new(0..0, Shape::Any);
            let form = |n: usize| forms.get(n).or(rest.as_deref()).unwrap_or(&any);
            let items = items.iter().enumerate().map(|(n, item)| print(item, form(n)));
            format!("[{}]", items.collect::<Vec<_>>().join(", "))
        }
        _ => format!("{json}{unit}"),
    }
}

/// The alternative that has the value's shape: all of its fields, or a kind and not a value written out.
fn fitting<'a>(json: &Json, alternatives: &'a [(bool, Value)]) -> &'a Value {
    let fits = |v: &&Value| match (json, &v.what) {
        (Json::Object(map), Shape::Struct { fields, .. }) => {
            map.iter().all(|(name, v)| v.is_null() || fields.iter().any(|(n, _)| n == name))
        }
        (Json::Array(_), Shape::List(_, rest)) => rest.is_some(),
        (_, shape) => matches!(shape, Shape::Limited(..)),
    };
    let found = alternatives.iter().map(|(_, v)| v).find(fits);
    found.unwrap_or(&alternatives[0].1)
}
