//! A deserializer that ignores the fields which a newer sender has appended to a message.
//!
//! Fields are encoded by position, so a message of another build is a longer or a shorter sequence. What
//! is missing is left to the message's defaults; what is beyond the known fields is read and dropped,
//! at each level of the message. Elements of a list are never dropped, as a list reads all of them.

use std::fmt;

use serde::de::{
    self, DeserializeSeed, Deserializer, EnumAccess, IgnoredAny, MapAccess, SeqAccess,
    VariantAccess, Visitor,
};

/// Wraps a deserializer, or a part of one, so that sequences may be longer than they are read.
pub struct Lenient<T>(pub T);

macro_rules! forward_deserialize {
    ($($method:ident($($argument:ident: $type:ty),*))*) => {
        $(fn $method<V>(self, $($argument: $type,)* visitor: V) -> Result<V::Value, Self::Error>
        where
            V: Visitor<'de>,
        {
            self.0.$method($($argument,)* Lenient(visitor))
        })*
    };
}

impl<'de, D> Deserializer<'de> for Lenient<D>
where
    D: Deserializer<'de>,
{
    type Error = D::Error;

    forward_deserialize! {
        deserialize_any()
        deserialize_bool()
        deserialize_i8()
        deserialize_i16()
        deserialize_i32()
        deserialize_i64()
        deserialize_i128()
        deserialize_u8()
        deserialize_u16()
        deserialize_u32()
        deserialize_u64()
        deserialize_u128()
        deserialize_f32()
        deserialize_f64()
        deserialize_char()
        deserialize_str()
        deserialize_string()
        deserialize_bytes()
        deserialize_byte_buf()
        deserialize_option()
        deserialize_unit()
        deserialize_unit_struct(name: &'static str)
        deserialize_newtype_struct(name: &'static str)
        deserialize_seq()
        deserialize_tuple(len: usize)
        deserialize_tuple_struct(name: &'static str, len: usize)
        deserialize_map()
        deserialize_struct(name: &'static str, fields: &'static [&'static str])
        deserialize_enum(name: &'static str, variants: &'static [&'static str])
        deserialize_identifier()
        deserialize_ignored_any()
    }

    fn is_human_readable(&self) -> bool {
        self.0.is_human_readable()
    }
}

macro_rules! forward_visit {
    ($($method:ident($type:ty))*) => {
        $(fn $method<E>(self, value: $type) -> Result<Self::Value, E>
        where
            E: de::Error,
        {
            self.0.$method(value)
        })*
    };
}

impl<'de, V> Visitor<'de> for Lenient<V>
where
    V: Visitor<'de>,
{
    type Value = V::Value;

    forward_visit! {
        visit_bool(bool)
        visit_i8(i8)
        visit_i16(i16)
        visit_i32(i32)
        visit_i64(i64)
        visit_i128(i128)
        visit_u8(u8)
        visit_u16(u16)
        visit_u32(u32)
        visit_u64(u64)
        visit_u128(u128)
        visit_f32(f32)
        visit_f64(f64)
        visit_char(char)
        visit_str(&str)
        visit_borrowed_str(&'de str)
        visit_string(String)
        visit_bytes(&[u8])
        visit_borrowed_bytes(&'de [u8])
        visit_byte_buf(Vec<u8>)
    }

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.expecting(formatter)
    }

    fn visit_none<E>(self) -> Result<Self::Value, E>
    where
        E: de::Error,
    {
        self.0.visit_none()
    }

    fn visit_unit<E>(self) -> Result<Self::Value, E>
    where
        E: de::Error,
    {
        self.0.visit_unit()
    }

    fn visit_some<D>(self, deserializer: D) -> Result<Self::Value, D::Error>
    where
        D: Deserializer<'de>,
    {
        self.0.visit_some(Lenient(deserializer))
    }

    fn visit_newtype_struct<D>(self, deserializer: D) -> Result<Self::Value, D::Error>
    where
        D: Deserializer<'de>,
    {
        self.0.visit_newtype_struct(Lenient(deserializer))
    }

    fn visit_seq<A>(self, mut elements: A) -> Result<Self::Value, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let value = self.0.visit_seq(Lenient(&mut elements))?;
        while elements.next_element::<IgnoredAny>()?.is_some() {}
        Ok(value)
    }

    fn visit_map<A>(self, entries: A) -> Result<Self::Value, A::Error>
    where
        A: MapAccess<'de>,
    {
        self.0.visit_map(Lenient(entries))
    }

    fn visit_enum<A>(self, variant: A) -> Result<Self::Value, A::Error>
    where
        A: EnumAccess<'de>,
    {
        self.0.visit_enum(Lenient(variant))
    }
}

impl<'de, S> DeserializeSeed<'de> for Lenient<S>
where
    S: DeserializeSeed<'de>,
{
    type Value = S::Value;

    fn deserialize<D>(self, deserializer: D) -> Result<Self::Value, D::Error>
    where
        D: Deserializer<'de>,
    {
        self.0.deserialize(Lenient(deserializer))
    }
}

impl<'de, A> SeqAccess<'de> for Lenient<A>
where
    A: SeqAccess<'de>,
{
    type Error = A::Error;

    fn next_element_seed<S>(&mut self, seed: S) -> Result<Option<S::Value>, Self::Error>
    where
        S: DeserializeSeed<'de>,
    {
        self.0.next_element_seed(Lenient(seed))
    }

    fn size_hint(&self) -> Option<usize> {
        self.0.size_hint()
    }
}

impl<'de, A> MapAccess<'de> for Lenient<A>
where
    A: MapAccess<'de>,
{
    type Error = A::Error;

    fn next_key_seed<S>(&mut self, seed: S) -> Result<Option<S::Value>, Self::Error>
    where
        S: DeserializeSeed<'de>,
    {
        self.0.next_key_seed(Lenient(seed))
    }

    fn next_value_seed<S>(&mut self, seed: S) -> Result<S::Value, Self::Error>
    where
        S: DeserializeSeed<'de>,
    {
        self.0.next_value_seed(Lenient(seed))
    }

    fn size_hint(&self) -> Option<usize> {
        self.0.size_hint()
    }
}

impl<'de, A> EnumAccess<'de> for Lenient<A>
where
    A: EnumAccess<'de>,
{
    type Error = A::Error;
    type Variant = Lenient<A::Variant>;

    fn variant_seed<S>(self, seed: S) -> Result<(S::Value, Self::Variant), Self::Error>
    where
        S: DeserializeSeed<'de>,
    {
        let (value, variant) = self.0.variant_seed(Lenient(seed))?;
        Ok((value, Lenient(variant)))
    }
}

impl<'de, A> VariantAccess<'de> for Lenient<A>
where
    A: VariantAccess<'de>,
{
    type Error = A::Error;

    fn unit_variant(self) -> Result<(), Self::Error> {
        self.0.unit_variant()
    }

    fn newtype_variant_seed<S>(self, seed: S) -> Result<S::Value, Self::Error>
    where
        S: DeserializeSeed<'de>,
    {
        self.0.newtype_variant_seed(Lenient(seed))
    }

    fn tuple_variant<V>(self, len: usize, visitor: V) -> Result<V::Value, Self::Error>
    where
        V: Visitor<'de>,
    {
        self.0.tuple_variant(len, Lenient(visitor))
    }

    fn struct_variant<V>(
        self,
        fields: &'static [&'static str],
        visitor: V,
    ) -> Result<V::Value, Self::Error>
    where
        V: Visitor<'de>,
    {
        self.0.struct_variant(fields, Lenient(visitor))
    }
}
